package org.cornelramp.daemon.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.settings.BackendKind;
import org.cornelramp.core.settings.DaemonSettings;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.wire.message.Message;

/** Runs an agent without threads, with a clock controlled by the test. Confined to one thread. */
final class AgentHarness {
    final Incarnation incarnation = new Incarnation(new BackendServerId("gpu-1"), 1);
    final FakeEngine engine = new FakeEngine(0, 6, 6);
    final FakeService service = new FakeService();
    final FakeTables tables = new FakeTables(0);
    final FakeLog log = new FakeLog();
    final Agent agent;
    int extraHeartbeats;
    private final Queue<AgentEvent> events = new ArrayDeque<>();
    private Moment now = new Moment(1_000_000_000L, Instant.parse("2026-01-01T00:00:00Z"));

    AgentHarness(BackendKind kind) {
        DaemonSettings settings = TestAgent.settings("gpu-1", kind, new HostPort("127.0.0.1", 0));
        AgentServices services = new AgentServices(
                settings, null, incarnation, engine, service, tables, log, () -> {}, key -> Optional.of(minted(key)));
        CompletionDispatcher completions = new CompletionDispatcher(events::add);
        CrashSuspects suspects = new CrashSuspects(incarnation);
        OutputSender sender =
                new OutputSender(new NoNeighbours(), settings.timing().heartbeatMillis());
        StepBatcher batcher = new StepBatcher(settings, engine, completions, this::now, suspects);
        agent = new Agent(new AgentParts(
                settings,
                this::now,
                completions,
                new CallHandler(services, completions, this::now, suspects),
                new StageHandler(settings, engine, completions, batcher, sender),
                batcher,
                sender,
                tables,
                kind == BackendKind.ENGINE ? engine::offer : service::offer,
                () -> extraHeartbeats++,
                suspects,
                () -> {},
                new SettlementWriter(incarnation, log, completions),
                new OrderHandler(engine, log, completions)));
        tick();
    }

    private static Instant minted(String key) {
        return Instant.parse("2026-01-01T00:00:00Z").plusSeconds(key.length());
    }

    Moment now() {
        return now;
    }

    /** Advances the clock without a tick, as if the agent's process were paused. */
    void advanceClock(Duration time) {
        now = new Moment(now.nanos() + time.toNanos(), now.instant().plus(time));
    }

    /** Delivers a message and processes all events that result from it. */
    void receive(FakeLink link, Message message) {
        agent.handle(new AgentEvent.MessageReceived(link, message));
        processEvents();
    }

    FakeLink entry(String name) {
        FakeLink link = new FakeLink(name, true);
        agent.handle(new AgentEvent.LinkOpened(link));
        processEvents();
        return link;
    }

    void tick() {
        agent.tick();
        processEvents();
    }

    /** Processes all pending events. */
    void processEvents() {
        while (!events.isEmpty()) {
            agent.handle(events.remove());
        }
    }

    private static final class NoNeighbours implements OutputSender.NeighbourLinks {
        @Override
        public void keep(HostPort address) {}

        @Override
        public void forget(HostPort address) {}
    }
}
