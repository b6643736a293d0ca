package org.cornelramp.daemon.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.link.LinkListener;
import org.cornelramp.wire.link.LinkLoop;
import org.cornelramp.wire.link.LinkOptions;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.Hello;
import org.cornelramp.wire.message.Message;

/** An entry as seen by an agent: it has real links, and the test sends its messages. */
final class TestEntry implements AutoCloseable, LinkListener {
    private static final long TIMEOUT_SECONDS = 20;

    final LinkLoop loop;
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private final Map<String, Heartbeat> heartbeats = new ConcurrentHashMap<>();
    private final BlockingQueue<Message> messages = new LinkedBlockingQueue<>();

    TestEntry(String name) {
        Hello hello = new Hello(
                name,
                true,
                new Incarnation(new BackendServerId(name), name.hashCode()),
                new DataCentre("dc-1"),
                Optional.empty(),
                "");
        Heartbeat beat = new Heartbeat(
                AgentState.ACTIVE, AgentLoad.IDLE, Optional.empty(), 0, 0, List.of(), List.of(), Map.of(), Map.of());
        loop = new LinkLoop(name, LinkOptions.of(TestAgent.HEARTBEAT_MILLIS, 4 << 20), () -> hello, () -> beat, this);
        loop.start();
    }

    /** Connects to an agent and waits until the agent accepts work. */
    Link link(TestAgent agent) throws InterruptedException {
        loop.keepConnected(agent.address());
        String name = agent.incarnation.server().value();
        await(() -> heartbeats.containsKey(name) && heartbeats.get(name).state() == AgentState.ACTIVE);
        return links.get(name);
    }

    /** All open links. */
    List<Link> links() {
        return List.copyOf(links.values());
    }

    Heartbeat lastHeartbeat(TestAgent agent) {
        return heartbeats.get(agent.incarnation.server().value());
    }

    /** Waits until a condition holds; fails after {@value #TIMEOUT_SECONDS} seconds. */
    static void await(java.util.function.BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("The condition did not hold within the timeout");
            }
            Thread.sleep(5);
        }
    }

    /** Waits for the next message that has this type and matches; messages before it are dropped. */
    <T extends Message> T next(Class<T> type, Predicate<T> matches) throws InterruptedException {
        while (true) {
            Message message = messages.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (message == null) {
                throw new AssertionError("No " + type.getSimpleName() + " was received within the timeout");
            }
            if (type.isInstance(message) && matches.test(type.cast(message))) {
                return type.cast(message);
            }
        }
    }

    <T extends Message> T next(Class<T> type) throws InterruptedException {
        return next(type, message -> true);
    }

    /** Removes and returns all messages that were received and not yet consumed. */
    List<Message> takeMessages() {
        List<Message> all = new ArrayList<>();
        messages.drainTo(all);
        return all;
    }

    @Override
    public void opened(Link link) {
        links.put(link.peer().process(), link);
    }

    @Override
    public void received(Link link, Message message) {
        if (message instanceof Heartbeat beat) {
            heartbeats.put(link.peer().process(), beat);
        } else {
            messages.add(message);
        }
    }

    @Override
    public void closed(Link link, String why) {
        links.remove(link.peer().process(), link);
        heartbeats.remove(link.peer().process());
    }

    @Override
    public void close() {
        loop.close();
    }
}
