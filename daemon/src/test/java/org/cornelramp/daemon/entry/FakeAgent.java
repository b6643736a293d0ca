package org.cornelramp.daemon.entry;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Offer;
import org.cornelramp.core.poison.CrashReport;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.link.LinkListener;
import org.cornelramp.wire.link.LinkLoop;
import org.cornelramp.wire.link.LinkOptions;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.Hello;
import org.cornelramp.wire.message.Message;

/** An agent on loopback that handles messages as a test specifies. Handlers run on its network thread. */
final class FakeAgent implements LinkListener, AutoCloseable {
    static final long HEARTBEAT_MILLIS = 200;

    final Incarnation incarnation;
    final Offer offer;
    final CopyOnWriteArrayList<Message> receivedMessages = new CopyOnWriteArrayList<>();
    final Map<Link, Boolean> links = new ConcurrentHashMap<>();
    final CopyOnWriteArrayList<String> crashReports = new CopyOnWriteArrayList<>();
    volatile AgentState state = AgentState.ACTIVE;
    volatile BiConsumer<Link, Message> messageHandler = (link, message) -> {};
    private final LinkLoop loop;
    private volatile HostPort address;

    FakeAgent(Incarnation incarnation, Offer offer) {
        this.incarnation = incarnation;
        this.offer = offer;
        this.loop = new LinkLoop(
                "fake-" + incarnation.server(),
                LinkOptions.of(HEARTBEAT_MILLIS, 1 << 20),
                this::hello,
                this::heartbeat,
                this);
    }

    FakeAgent start(int port) throws IOException {
        address = loop.listen(new HostPort("127.0.0.1", port));
        loop.start();
        return this;
    }

    HostPort address() {
        return address;
    }

    /** Closes all links, like a network failure; the agent keeps running. */
    void cutLinks() {
        links.keySet().forEach(link -> link.close("cut by the test"));
    }

    /** Reports a crash of the backend server in a heartbeat at once. */
    void reportCrash(CrashReport report) {
        crashReports.add(report.toString());
        loop.sendHeartbeatsNow();
    }

    void changeState(AgentState newState) {
        state = newState;
        loop.sendHeartbeatsNow();
    }

    @Override
    public void opened(Link link) {
        links.put(link, true);
    }

    @Override
    public void received(Link link, Message message) {
        if (!(message instanceof Heartbeat)) {
            receivedMessages.add(message);
            messageHandler.accept(link, message);
        }
    }

    @Override
    public void closed(Link link, String why) {
        links.remove(link);
    }

    @Override
    public void close() {
        loop.close();
    }

    private Hello hello() {
        return new Hello(
                incarnation.server().value(),
                false,
                incarnation,
                new DataCentre("dc1"),
                Optional.of(offer),
                String.valueOf(address));
    }

    private Heartbeat heartbeat() {
        return new Heartbeat(
                state,
                AgentLoad.IDLE,
                Optional.of(offer),
                0,
                0,
                List.of(),
                List.copyOf(crashReports),
                Map.of(),
                Map.of());
    }
}
