package org.cornelramp.wire.link;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.Hello;
import org.cornelramp.wire.message.Message;

/** A process with links, for tests. */
final class Peer implements AutoCloseable, LinkListener {
    static final Heartbeat HEARTBEAT = new Heartbeat(
            AgentState.ACTIVE, AgentLoad.IDLE, Optional.empty(), 0, 0, List.of(), List.of(), Map.of(), Map.of());

    /** An interval long enough that a live peer on a busy machine does not appear silent. */
    static final LinkOptions SLOW_HEARTBEATS = LinkOptions.of(1_000, 1 << 16);
    /** An interval short enough that a silent peer is detected quickly. */
    static final LinkOptions FAST_HEARTBEATS = LinkOptions.of(50, 1 << 16);

    final LinkLoop loop;
    final Semaphore closed = new Semaphore(0);
    final Semaphore heartbeats = new Semaphore(0);
    private final BlockingQueue<Link> links = new LinkedBlockingQueue<>();
    private final BlockingQueue<Message> messages = new LinkedBlockingQueue<>();

    Peer(String name) {
        this(name, SLOW_HEARTBEATS);
    }

    Peer(String name, LinkOptions options) {
        Hello hello = hello(name);
        loop = new LinkLoop("links-" + name, options, () -> hello, () -> HEARTBEAT, this);
        loop.start();
    }

    static Hello hello(String name) {
        return new Hello(
                name,
                false,
                new Incarnation(new BackendServerId(name), 1),
                new DataCentre("dc-1"),
                Optional.empty(),
                "");
    }

    Link opened() throws InterruptedException {
        return links.poll(10, TimeUnit.SECONDS);
    }

    Message received() throws InterruptedException {
        return messages.poll(10, TimeUnit.SECONDS);
    }

    @Override
    public void opened(Link link) {
        links.add(link);
    }

    @Override
    public void received(Link link, Message message) {
        if (message instanceof Heartbeat) {
            heartbeats.release();
        } else {
            messages.add(message);
        }
    }

    @Override
    public void closed(Link link, String why) {
        closed.release();
    }

    @Override
    public void close() {
        loop.close();
    }
}
