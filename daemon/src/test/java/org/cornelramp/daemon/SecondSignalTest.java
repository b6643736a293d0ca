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
 * A stop signal comes while work is in progress that will not end. The process waits for it; an operator who sends
 * the signal again ends the wait at once, and so does the limit. Both are told by the exit code, and all parts are
 * stopped either way. Without work in progress the first signal is enough.
 */
public class SecondSignalTest {
    private static final long FOREVER_MILLIS = 3_600_000;

    /** A part whose work ends or not, and which sends the second signal once the drain has begun, if it is to. */
    private static final class Work implements Component {
        private final boolean ends;
        private Runnable onDrain = () -> {};
        private boolean stopped;

        Work(boolean ends) {
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

    /** Adds the part that the registry holds for it. */
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
            registry.add(registry.need(Component.class));
        }
    }

    /** Lets the kernel find the plug-in of this test alone. */
    private static final class OnePlugin extends ClassLoader {
        private final URL services;

        OnePlugin(ClassLoader parent) throws IOException {
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

    private static ExitCode stop(Work work, long drainMillis, boolean again) throws Exception {
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
        Thread.currentThread().setContextClassLoader(new OnePlugin(before));
        try {
            kernel.start();
        } finally {
            Thread.currentThread().setContextClassLoader(before);
        }
        PlannedStop stop = new PlannedStop(kernel, Clock.systemUTC(), drainMillis);
        work.onDrain = again ? stop::signalled : () -> {};
        stop.signalled();
        ExitCode code = stop.awaitAndRun();
        Thread.interrupted(); // a signal that found nothing to end stays with the thread, which other tests use
        assertTrue(work.stopped);
        return code;
    }

    @Test
    public void workThatEndsIsWaitedForAndNothingIsCut() throws Exception {
        assertEquals(stop(new Work(true), FOREVER_MILLIS, false), ExitCode.STOPPED);
    }

    @Test
    public void theSecondSignalEndsTheWait() throws Exception {
        assertEquals(stop(new Work(false), FOREVER_MILLIS, true), ExitCode.CUT);
    }

    @Test
    public void theLimitEndsTheWait() throws Exception {
        assertEquals(stop(new Work(false), 1, false), ExitCode.CUT);
    }

    @Test
    public void aSecondSignalWithNothingInProgressCutsNothing() throws Exception {
        assertEquals(stop(new Work(true), FOREVER_MILLIS, true), ExitCode.STOPPED);
    }
}
