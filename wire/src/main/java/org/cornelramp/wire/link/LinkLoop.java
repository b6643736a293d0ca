package org.cornelramp.wire.link;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.wire.codec.FrameException;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.Hello;
import org.cornelramp.wire.message.Message;

/**
 * Runs all links of one process on one network thread: it listens, connects and reconnects, sends hello messages and
 * heartbeats, and closes links that are silent, stalled or send invalid data.
 *
 * <p>{@link #listen}, {@link #keepConnected}, {@link #disconnect} and {@link #sendHeartbeatsNow} are safe for use by
 * any thread; the rest of the state is confined to the network thread, which also calls the suppliers and the listener.
 * They must not block. Invariant: for each link the first call of the listener is {@code opened} and the last is
 * {@code closed}, each once; a connection whose peer never sends a hello is not reported.
 */
public final class LinkLoop implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(LinkLoop.class.getName());
    private static final int READ_BYTES = 64 << 10;
    private static final int MAX_READS_PER_LINK = 16;
    private static final int BACKLOG = 1_024;
    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    private final LinkOptions options;
    private final Supplier<Hello> hello;
    private final Supplier<Heartbeat> heartbeat;
    private final LinkListener listener;
    private final LinkCounters counters = new LinkCounters();
    private final Selector selector;
    private final Thread thread;
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);
    private final Set<TcpLink> links = new LinkedHashSet<>();
    private final Map<HostPort, Dialler> diallers = new ConcurrentHashMap<>();
    private final Queue<TcpLink> flushRequests = new ConcurrentLinkedQueue<>();
    private final Queue<ServerSocketChannel> unregisteredServers = new ConcurrentLinkedQueue<>();
    private final List<ServerSocketChannel> servers = new ArrayList<>();
    private volatile boolean running = true;
    private volatile boolean heartbeatRequested;

    /**
     * @param name name of the network thread
     * @param options bounds and intervals
     * @param hello supplies the message that this process sends when a link opens
     * @param heartbeat supplies the heartbeat of this process in each interval
     * @param listener notified of links and messages
     */
    public LinkLoop(
            String name,
            LinkOptions options,
            Supplier<Hello> hello,
            Supplier<Heartbeat> heartbeat,
            LinkListener listener) {
        this.options = options;
        this.hello = hello;
        this.heartbeat = heartbeat;
        this.listener = listener;
        this.thread = new Thread(this::run, name);
        try {
            this.selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts the network thread. */
    public void start() {
        thread.start();
    }

    /** Accepts links at an address; returns it with the port that was bound. */
    public HostPort listen(HostPort address) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        try {
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(new InetSocketAddress(address.host(), address.port()), BACKLOG);
            server.configureBlocking(false);
        } catch (IOException e) {
            server.close();
            throw e;
        }
        unregisteredServers.add(server);
        selector.wakeup();
        return new HostPort(address.host(), ((InetSocketAddress) server.getLocalAddress()).getPort());
    }

    /** Connects to an address, and reconnects whenever the link is lost, until {@link #disconnect}. */
    public void keepConnected(HostPort address) {
        if (diallers.putIfAbsent(address, new Dialler(address, options)) == null) {
            selector.wakeup();
        }
    }

    /** Closes the link to an address and does not reconnect. */
    public void disconnect(HostPort address) {
        Dialler dialler = diallers.remove(address);
        if (dialler != null) {
            dialler.stop();
            selector.wakeup();
        }
    }

    /** Sends a heartbeat on all links immediately; called when its contents have changed. */
    public void sendHeartbeatsNow() {
        heartbeatRequested = true;
        selector.wakeup();
    }

    /** Counters of all links. */
    public LinkCounters counters() {
        return counters;
    }

    /** Closes all links and ends the network thread. */
    @Override
    public void close() {
        running = false;
        selector.wakeup();
        try {
            thread.join(STOP_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void requestFlush(TcpLink link) {
        flushRequests.add(link);
        if (Thread.currentThread() != thread) {
            selector.wakeup();
        }
    }

    void reportUnsent(TcpLink link, FrameException e) {
        counters.refusedSends.increment();
        LOG.log(System.Logger.Level.WARNING, "link: a message was not sent; peer=" + link + " why=" + e.getMessage());
    }

    private void run() {
        while (running) {
            try {
                runOnce();
            } catch (IOException | RuntimeException e) {
                LOG.log(
                        System.Logger.Level.ERROR,
                        "link: an iteration of the network loop failed; the loop continues",
                        e);
            }
        }
        new ArrayList<>(links).forEach(link -> close(link, "this process is stopping"));
        // Closing the selector leaves the server channels bound, so the port could not be bound again.
        servers.forEach(LinkLoop::closeQuietly);
        unregisteredServers.forEach(LinkLoop::closeQuietly);
        closeQuietly(selector);
    }

    /**
     * One iteration. It reads before it checks for silence: after a pause of this process, frames of a live peer are
     * unread.
     */
    private void runOnce() throws IOException {
        selector.select(Math.max(1, options.heartbeatMillis() / 4));
        long now = System.nanoTime();
        registerListeners();
        for (SelectionKey key : selector.selectedKeys()) {
            handleKey(key, now);
        }
        selector.selectedKeys().clear();
        flushRequestedLinks(now);
        dial(now);
        checkLinks(now);
        flushRequestedLinks(now);
    }

    private void registerListeners() throws IOException {
        ServerSocketChannel server = unregisteredServers.poll();
        while (server != null) {
            server.register(selector, SelectionKey.OP_ACCEPT);
            servers.add(server);
            server = unregisteredServers.poll();
        }
    }

    private void handleKey(SelectionKey key, long now) {
        if (!key.isValid()) {
            return;
        }
        if (key.isAcceptable()) {
            accept((ServerSocketChannel) key.channel(), now);
            return;
        }
        TcpLink link = (TcpLink) key.attachment();
        try {
            if (key.isConnectable()) {
                link.channel.finishConnect();
                start(link, key, now);
            }
            if (key.isValid() && key.isReadable()) {
                read(link, now);
            }
            if (key.isValid() && key.isWritable() && link.isOpen()) {
                link.flush(key, now);
            }
        } catch (IOException e) {
            close(link, "connection lost: " + e.getMessage());
        }
    }

    private void accept(ServerSocketChannel server, long now) {
        try {
            SocketChannel channel = server.accept();
            if (channel == null) {
                return;
            }
            TcpLink link = add(channel, Optional.empty(), now);
            start(link, channel.register(selector, SelectionKey.OP_READ, link), now);
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "link: a connection could not be accepted; why=" + e.getMessage());
        }
    }

    private TcpLink add(SocketChannel channel, Optional<HostPort> dialledAddress, long now) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        TcpLink link = new TcpLink(this, options, channel, dialledAddress, now);
        links.add(link);
        return link;
    }

    private void start(TcpLink link, SelectionKey key, long now) {
        key.interestOps(SelectionKey.OP_READ);
        link.silenceDetector.recordReceived(now);
        link.send(hello.get());
    }

    private void read(TcpLink link, long now) throws IOException {
        for (int i = 0; i < MAX_READS_PER_LINK && link.isOpen(); i++) {
            readBuffer.clear();
            int count = link.channel.read(readBuffer);
            if (count < 0) {
                close(link, "closed by the peer");
                return;
            }
            if (count == 0) {
                return;
            }
            counters.bytesIn.add(count);
            link.reader.feed(readBuffer.flip());
            decodeFrames(link, now);
        }
    }

    private void decodeFrames(TcpLink link, long now) {
        while (link.isOpen()) {
            try {
                Optional<Message> message = link.reader.next();
                if (message.isEmpty()) {
                    return;
                }
                link.silenceDetector.recordReceived(now);
                counters.framesIn.increment();
                receive(link, message.get());
            } catch (FrameException e) {
                handleInvalidFrame(link, e);
            }
        }
    }

    private void handleInvalidFrame(TcpLink link, FrameException e) {
        if (e.kind().isFatal()) {
            counters.invalid.increment();
            close(link, e.getMessage());
        } else {
            counters.skipped.increment();
            LOG.log(System.Logger.Level.DEBUG, "link: a message was skipped; peer=" + link + " why=" + e.getMessage());
        }
    }

    private void receive(TcpLink link, Message message) {
        if (link.hasPeer()) {
            link.expandBeat(message).ifPresent(expanded -> callListener(link, () -> listener.received(link, expanded)));
            return;
        }
        if (!(message instanceof Hello peerHello)) {
            counters.invalid.increment();
            close(link, "the first message is not a hello");
            return;
        }
        link.setPeer(peerHello);
        counters.opened.increment();
        link.dialledAddress().map(diallers::get).ifPresent(Dialler::recordSuccess);
        LOG.log(System.Logger.Level.DEBUG, "link: opened; peer=" + link);
        callListener(link, () -> listener.opened(link));
    }

    /**
     * Calls the listener; an exception closes only this link and must not end the network thread, which serves all
     * links.
     */
    private void callListener(TcpLink link, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "link: the listener threw an exception, the link is closed; peer=" + link,
                    e);
            close(link, "the listener threw an exception");
        }
    }

    private void flushRequestedLinks(long now) {
        TcpLink link = flushRequests.poll();
        while (link != null) {
            flushOne(link, now);
            link = flushRequests.poll();
        }
    }

    private void flushOne(TcpLink link, long now) {
        if (!link.isOpen()) {
            close(link, link.closeReason());
            return;
        }
        SelectionKey key = link.channel.keyFor(selector);
        if (key == null || !link.channel.isConnected()) {
            return;
        }
        try {
            link.flush(key, now);
        } catch (IOException e) {
            close(link, "connection lost: " + e.getMessage());
        }
    }

    private void dial(long now) {
        for (Dialler dialler : diallers.values()) {
            if (dialler.isDue(now)) {
                dial(dialler, now);
            }
        }
    }

    private void dial(Dialler dialler, long now) {
        try {
            SocketChannel channel = SocketChannel.open();
            TcpLink link = add(channel, Optional.of(dialler.address), now);
            dialler.link = link;
            channel.register(selector, SelectionKey.OP_CONNECT, link);
            if (channel.connect(new InetSocketAddress(dialler.address.host(), dialler.address.port()))) {
                start(link, channel.keyFor(selector), now);
            }
        } catch (IOException e) {
            if (dialler.link != null) {
                close(dialler.link, "not connected: " + e.getMessage());
            } else {
                dialler.recordFailure(now);
            }
        }
    }

    private void checkLinks(long now) {
        boolean sendToAll = heartbeatRequested;
        heartbeatRequested = false;
        for (TcpLink link : new ArrayList<>(links)) {
            if (link.dialledAddress().isPresent()
                    && !diallers.containsKey(link.dialledAddress().get())) {
                close(link, "no longer needed");
            } else if (link.silenceDetector.isSilent(now)) {
                counters.unresponsive.increment();
                close(link, "silent for " + SilenceDetector.MAX_SILENT_INTERVALS + " heartbeats");
            } else if (link.hasUnsent() && link.silenceDetector.isStalled(now)) {
                counters.unresponsive.increment();
                close(link, "read nothing for " + SilenceDetector.MAX_SILENT_INTERVALS + " heartbeats");
            } else if ((link.silenceDetector.pollHeartbeatDue(now) || sendToAll) && link.channel.isConnected()) {
                link.sendHeartbeat(heartbeat.get());
            }
        }
    }

    private void close(TcpLink link, String why) {
        link.markClosed(why);
        if (!links.remove(link)) {
            return;
        }
        closeQuietly(link.channel);
        link.dialledAddress()
                .map(diallers::get)
                .filter(dialler -> dialler.link == link)
                .ifPresent(dialler -> dialler.recordFailure(System.nanoTime()));
        if (link.hasPeer()) {
            LOG.log(System.Logger.Level.INFO, "link: closed; peer=" + link + " why=" + link.closeReason());
            callListener(link, () -> listener.closed(link, link.closeReason()));
        }
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            LOG.log(System.Logger.Level.DEBUG, "link: close failed", e);
        }
    }
}
