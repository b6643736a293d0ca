package org.cornelramp.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Instant;
import java.util.Collections;
import java.util.Enumeration;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.settings.BoundSettings;
import org.cornelramp.core.settings.DaemonSettings;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.core.settings.LogSettings;
import org.cornelramp.core.settings.PlatformSettings;
import org.cornelramp.core.settings.Role;
import org.cornelramp.core.settings.TimingSettings;
import org.cornelramp.daemon.kernel.Component;
import org.cornelramp.daemon.kernel.Kernel;
import org.cornelramp.daemon.kernel.Plugin;
import org.cornelramp.daemon.kernel.Registry;
import org.testng.annotations.Test;

/**
 * Guards against a planned stop that hangs on work that does not end: a second stop signal and the drain limit both end
 * the drain, the exit code reports the aborted work, and all components are stopped. Without work in progress the first
 * signal is enough.
 */
public class SecondSignalTest {
    private static final long NO_LIMIT_MILLIS = 3_600_000;

    /**
     * A component whose work ends or not, and which runs {@link #onDrain} when the drain starts, for example to send
     * the second signal.
     */
    private static final class StubWork implements Component {
        private final boolean ends;
        private Runnable onDrain = () -> {};
        private boolean stopped;

        StubWork(boolean ends) {
            this.ends = ends;
        }

        @Override
        public String name() {
            return "work";
        }

        @Override
        public void start() {}

        @Override
        public void drain(Instant limit) {
            onDrain.run();
        }

        @Override
        public boolean isDrained() {
            return ends;
        }

        @Override
        public void stop() {
            stopped = true;
        }
    }

    /** Adds the component that the test has shared in the registry. */
    public static final class WorkPlugin implements Plugin {
        @Override
        public String name() {
            return "work";
        }

        @Override
        public int order() {
            return 1;
        }

        @Override
        public boolean servesRole(Role role) {
            return true;
        }

        @Override
        public void register(Registry registry) {
            registry.add(registry.require(Component.class));
        }
    }

    /** Makes {@link WorkPlugin} the only plug-in that the kernel finds. */
    private static final class SinglePluginClassLoader extends ClassLoader {
        private final URL services;

        SinglePluginClassLoader(ClassLoader parent) throws IOException {
            super(parent);
            Path file = Files.createTempFile("plugins", "");
            file.toFile().deleteOnExit();
            Files.writeString(file, WorkPlugin.class.getName());
            services = file.toUri().toURL();
        }

        @Override
        public Enumeration<URL> getResources(String name) {
            return Collections.enumeration(List.of(services));
        }
    }

    private static ExitCode stop(StubWork work, long drainMillis, boolean again) throws Exception {
        DaemonSettings settings = new DaemonSettings(
                Role.ENTRY,
                "entry-1",
                new DataCentre("dc1"),
                new HostPort("127.0.0.1", 0),
                Optional.empty(),
                new PlatformSettings("http://127.0.0.1:1", "http://127.0.0.1:1", Optional.empty()),
                Optional.empty(),
                TimingSettings.DEFAULTS,
                BoundSettings.DEFAULTS,
                LogSettings.DEFAULTS);
        Registry registry = new Registry(settings, Clock.systemUTC(), new SimpleMeterRegistry());
        registry.share(Component.class, work);
        Kernel kernel = new Kernel(registry, Clock.systemUTC());
        ClassLoader before = Thread.currentThread().getContextClassLoader();
        Thread.currentThread().setContextClassLoader(new SinglePluginClassLoader(before));
        try {
            kernel.start();
        } finally {
            Thread.currentThread().setContextClassLoader(before);
        }
        PlannedStop stop = new PlannedStop(kernel, Clock.systemUTC(), drainMillis);
        work.onDrain = again ? stop::onStopSignal : () -> {};
        stop.onStopSignal();
        ExitCode code = stop.awaitAndRun();
        // A signal that interrupted nothing leaves the interrupt flag set on this thread, which other tests use.
        Thread.interrupted();
        assertTrue(work.stopped);
        return code;
    }

    @Test
    public void stopCompletesWhenWorkEnds() throws Exception {
        assertEquals(stop(new StubWork(true), NO_LIMIT_MILLIS, false), ExitCode.STOPPED);
    }

    @Test
    public void secondSignalEndsDrain() throws Exception {
        assertEquals(stop(new StubWork(false), NO_LIMIT_MILLIS, true), ExitCode.WORK_ABORTED);
    }

    @Test
    public void drainLimitEndsDrain() throws Exception {
        assertEquals(stop(new StubWork(false), 1, false), ExitCode.WORK_ABORTED);
    }

    @Test
    public void secondSignalWithoutWorkInProgressAbortsNothing() throws Exception {
        assertEquals(stop(new StubWork(true), NO_LIMIT_MILLIS, true), ExitCode.STOPPED);
    }
}
