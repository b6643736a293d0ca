package org.cornelramp.daemon.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.Offer;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.settings.BackendKind;
import org.cornelramp.core.settings.DaemonSettings;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.daemon.kernel.Component;
import org.cornelramp.daemon.kernel.EventLoop;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.link.LinkCounters;
import org.cornelramp.wire.link.LinkListener;
import org.cornelramp.wire.link.LinkLoop;
import org.cornelramp.wire.link.LinkOptions;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.Hello;
import org.cornelramp.wire.message.Invoke;
import org.cornelramp.wire.message.InvokeResult;
import org.cornelramp.wire.message.Message;

/**
 * Runs the agent on two threads: one for its links, and an event loop thread for all its state.
 *
 * <p>Safe for use by any thread. Invariant: an event that does not fit the full ring is never dropped silently. A call
 * without a key is answered as not run. For any other message the link is closed, and on a new link the peer asks for
 * the state of its work.
 */
final class AgentComponent implements Component, LinkListener {
    private static final System.Logger LOG = System.getLogger(AgentComponent.class.getName());
    private static final long TICK_MILLIS = 50;
    /** Room in a link's outbound buffer beyond the largest frame: a table being sent must not delay heartbeats. */
    private static final long OUTBOUND_MARGIN_BYTES = 64 << 10;

    private static final byte[] EMPTY_BODY = new byte[0];

    private final AgentServices services;
    private final LinkLoop links;
    private final EventLoop<AgentEvent> eventLoop;
    private final Agent agent;
    private volatile HostPort address;
    private volatile boolean drained;

    AgentComponent(AgentServices services) {
        this.services = services;
        DaemonSettings settings = services.settings();
        this.address = settings.links().orElseThrow();
        LinkOptions options = LinkOptions.of(
                        settings.timing().heartbeatMillis(), settings.bounds().frameBytes())
                .withMaxUnsentBytes(settings.bounds().frameBytes() + OUTBOUND_MARGIN_BYTES);
        this.links = new LinkLoop("agent-links", options, this::hello, this::heartbeat, this);
        this.eventLoop = new EventLoop<>("agent", settings.bounds().ringSlots(), this::handle, this::tick, TICK_MILLIS);
        this.agent = buildAgent();
    }

    private Agent buildAgent() {
        DaemonSettings settings = services.settings();
        Supplier<Moment> clock = this::now;
        CompletionDispatcher completions = new CompletionDispatcher(eventLoop::offer);
        CrashSuspects suspects = new CrashSuspects(services.incarnation());
        OutputSender sender = new OutputSender(
                new OutputSender.NeighbourLinks() {
                    @Override
                    public void keep(HostPort neighbour) {
                        links.keepConnected(neighbour);
                    }

                    @Override
                    public void forget(HostPort neighbour) {
                        links.disconnect(neighbour);
                    }
                },
                settings.timing().heartbeatMillis());
        StepBatcher batcher = new StepBatcher(settings, services.engine(), completions, clock, suspects);
        boolean isEngine = settings.backend().orElseThrow().kind() == BackendKind.ENGINE;
        return new Agent(new AgentParts(
                settings,
                clock,
                completions,
                new CallHandler(services, completions, clock, suspects),
                new StageHandler(settings, services.engine(), completions, batcher, sender),
                batcher,
                sender,
                services.tables(),
                isEngine ? services.engine()::offer : services.service()::offer,
                links::sendHeartbeatsNow,
                suspects,
                services.stopSwitch(),
                new SettlementWriter(services.incarnation(), services.log(), completions),
                new OrderHandler(services.engine(), services.log(), completions)));
    }

    private Moment now() {
        return new Moment(System.nanoTime(), services.clock().instant());
    }

    private Hello hello() {
        Optional<Offer> offer = agent.heartbeat().offer();
        DaemonSettings settings = services.settings();
        return new Hello(
                settings.name(), false, services.incarnation(), settings.dataCentre(), offer, address.toString());
    }

    private Heartbeat heartbeat() {
        return agent.heartbeat();
    }

    private void handle(AgentEvent event) {
        agent.handle(event);
    }

    private void tick() {
        agent.tick();
        drained = agent.isStopped();
    }

    @Override
    public String name() {
        return "agent";
    }

    @Override
    public void start() throws IOException {
        address = links.listen(address);
        eventLoop.start();
        links.start();
    }

    /** The address on which links are accepted; has the bound port once the agent has started. */
    HostPort address() {
        return address;
    }

    /** The state of this agent as the status endpoint shows it. */
    JsonNode status() {
        Heartbeat beat = agent.heartbeat();
        ObjectNode status = JsonNodeFactory.instance.objectNode();
        status.put("incarnation", services.incarnation().toString());
        status.put("state", beat.state().name().toLowerCase(Locale.ROOT).replace('_', '-'));
        status.put("address", address.toString());
        status.put("running", beat.load().running());
        status.put("waiting", beat.load().waiting());
        status.put("queuedTokens", beat.load().queuedTokens());
        status.put("tokensPerSecond", beat.load().tokensPerSecond());
        status.put("linkedEntries", beat.load().linkedEntries());
        status.put("term", beat.term());
        beat.offer().ifPresent(offer -> status.put("service", offer.service().value()));
        return status;
    }

    /** The reason why this agent accepts no work now; empty if it accepts work. */
    Optional<String> notReadyReason() {
        AgentState state = agent.heartbeat().state();
        return state.takesWork() ? Optional.empty() : Optional.of("the agent's state is " + state);
    }

    LinkCounters linkCounters() {
        return links.counters();
    }

    AgentLoad load() {
        return agent.heartbeat().load();
    }

    @Override
    public void drain(Instant limit) {
        Moment now = now();
        Moment end =
                new Moment(now.plusMillis(Duration.between(now.instant(), limit).toMillis()), limit);
        AgentEvent leave = new AgentEvent.Task(() -> agent.beginStop(end));
        while (!eventLoop.offer(leave)) {
            Thread.onSpinWait();
        }
    }

    @Override
    public boolean isDrained() {
        return drained;
    }

    @Override
    public void stop() {
        links.close();
        eventLoop.stop();
    }

    @Override
    public void opened(Link link) {
        if (!eventLoop.offer(new AgentEvent.LinkOpened(link))) {
            link.close("the agent's ring is full");
        }
    }

    @Override
    public void received(Link link, Message message) {
        if (eventLoop.offer(new AgentEvent.MessageReceived(link, message))) {
            return;
        }
        if (message instanceof Invoke invoke && invoke.key().isEmpty()) {
            link.send(new InvokeResult(
                    invoke.call(),
                    Outcome.NOT_RUN,
                    Optional.of(ProblemKind.OVERLOADED),
                    "The agent's ring is full",
                    TICK_MILLIS,
                    0,
                    "",
                    EMPTY_BODY));
        } else {
            link.close("the agent's ring is full");
        }
    }

    @Override
    public void closed(Link link, String why) {
        if (!eventLoop.offer(new AgentEvent.LinkClosed(link, why))) {
            LOG.log(System.Logger.Level.DEBUG, "agent: the ring is full, so the next tick removes the closed link");
        }
    }
}
