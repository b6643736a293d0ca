package org.cornelramp.daemon.agent;

import java.time.Clock;
import java.time.Instant;
import java.util.Optional;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.settings.BackendKind;
import org.cornelramp.core.settings.BackendSettings;
import org.cornelramp.core.settings.BoundSettings;
import org.cornelramp.core.settings.DaemonSettings;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.core.settings.LogSettings;
import org.cornelramp.core.settings.PlatformSettings;
import org.cornelramp.core.settings.Role;
import org.cornelramp.core.settings.TimingSettings;

/** An agent with real threads and links and a fake backend server. */
final class TestAgent implements AutoCloseable {
    /** Long enough that a live peer on a busy machine does not miss its heartbeats. */
    static final long HEARTBEAT_MILLIS = 1_000;

    static final TimingSettings TIMING = new TimingSettings(HEARTBEAT_MILLIS, 500, 60_000, 1_000, 3_600_000);

    final FakeEngine engine;
    final FakeService service = new FakeService();
    final FakeTables tables = new FakeTables(0);
    final FakeLog log;
    final Incarnation incarnation;
    volatile boolean stopRequested;
    final AgentComponent component;

    private TestAgent(String name, BackendKind kind, FakeEngine engine, FakeLog log) throws Exception {
        this.engine = engine;
        this.log = log;
        this.incarnation = new Incarnation(new BackendServerId(name), 1);
        HostPort address = new HostPort("127.0.0.1", 0);
        component = new AgentComponent(new AgentServices(
                settings(name, kind, address),
                Clock.systemUTC(),
                incarnation,
                engine,
                service,
                tables,
                log,
                () -> stopRequested = true,
                TestAgent::minted));
        component.start();
    }

    static TestAgent engine(String name, int from, int to, int total) throws Exception {
        return new TestAgent(name, BackendKind.ENGINE, new FakeEngine(from, to, total), new FakeLog());
    }

    /** An agent with an engine and a log supplied by the test. */
    static TestAgent engine(String name, FakeLog log) throws Exception {
        return new TestAgent(name, BackendKind.ENGINE, new FakeEngine(0, 1, 1), log);
    }

    static TestAgent service(String name) throws Exception {
        return new TestAgent(name, BackendKind.SERVICE, new FakeEngine(0, 1, 1), new FakeLog());
    }

    HostPort address() {
        return component.address();
    }

    private static Optional<Instant> minted(String key) {
        return Optional.of(Instant.now());
    }

    static DaemonSettings settings(String name, BackendKind kind, HostPort address) {
        return new DaemonSettings(
                Role.AGENT,
                name,
                new DataCentre("dc-1"),
                new HostPort("127.0.0.1", 0),
                Optional.of(address),
                new PlatformSettings("http://127.0.0.1:1", "http://127.0.0.1:1", Optional.empty()),
                Optional.of(new BackendSettings(kind, "http://127.0.0.1:1", false)),
                TIMING,
                BoundSettings.DEFAULTS,
                LogSettings.DEFAULTS);
    }

    @Override
    public void close() {
        component.stop();
    }
}
