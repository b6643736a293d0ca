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
 * Holds all links of one process on one network thread: listens, connects and connects again, says hello, sends
 * heartbeats, and closes links that are silent, stalled or send garbage.
 *
 * <p>{@link #listen}, {@link #keep}, {@link #forget} and {@link #beatNow} are safe for use by any thread; the rest
 * of the state is confined to the network thread, which also calls the suppliers and the listener. They must not
 * block. Invariant: the listener hears of a link first by {@code opened} and last by {@code closed}, each once; a
 * connection whose peer never said who it is stays unheard of.
 */
public final class LinkLoop implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(LinkLoop.class.getName());
    private static final int READ_BYTES = 64 << 10;
    private static final int READS_EACH = 16;
    private static final int BACKLOG = 1_024;
    private static final long STOP_MILLIS = 2_000;

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
    private final Queue<TcpLink> flushes = new ConcurrentLinkedQueue<>();
    private final Queue<ServerSocketChannel> listeners = new ConcurrentLinkedQueue<>();
    private final List<ServerSocketChannel> servers = new ArrayList<>();
    private volatile boolean running = true;
    private volatile boolean beatAsked;

    /**
     * @param name name of the network thread
     * @param options bounds and intervals
     * @param hello what this process says when a link opens
     * @param heartbeat what this process says in each interval
     * @param listener told of links and messages
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

    /** Takes links at an address; returns it with the port that was bound. */
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
        listeners.add(server);
        selector.wakeup();
        return new HostPort(address.host(), ((InetSocketAddress) server.getLocalAddress()).getPort());
    }

    /** Holds a link to an address, connecting again whenever it is lost, until {@link #forget}. */
    public void keep(HostPort address) {
        if (diallers.putIfAbsent(address, new Dialler(address, options)) == null) {
            selector.wakeup();
        }
    }

    /** Holds a link to an address no longer, and closes it. */
    public void forget(HostPort address) {
        Dialler dialler = diallers.remove(address);
        if (dialler != null) {
            dialler.forget();
            selector.wakeup();
        }
    }

    /** Sends a heartbeat on all links at once, since something in it has changed. */
    public void beatNow() {
        beatAsked = true;
        selector.wakeup();
    }

    /** What happened on all links so far. */
    public LinkCounters counters() {
        return counters;
    }

    /** Closes all links and ends the network thread. */
    @Override
    public void close() {
        running = false;
        selector.wakeup();
        try {
            thread.join(STOP_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void askFlush(TcpLink link) {
        flushes.add(link);
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
                turn();
            } catch (IOException | RuntimeException e) {
                LOG.log(System.Logger.Level.ERROR, "link: one turn failed, the loop goes on", e);
            }
        }
        new ArrayList<>(links).forEach(link -> close(link, "this process stops"));
        // A channel that its selector no longer knows stays bound, and the port could not be listened on again.
        servers.forEach(LinkLoop::closeQuietly);
        listeners.forEach(LinkLoop::closeQuietly);
        closeQuietly(selector);
    }

    /** Reads before it judges silence: after a pause of this process the frames of a living peer wait unread. */
    private void turn() throws IOException {
        selector.select(Math.max(1, options.heartbeatMillis() / 4));
        long now = System.nanoTime();
        registerListeners();
        for (SelectionKey key : selector.selectedKeys()) {
            serve(key, now);
        }
        selector.selectedKeys().clear();
        flushAsked(now);
        dial(now);
        watch(now);
        flushAsked(now);
    }

    private void registerListeners() throws IOException {
        ServerSocketChannel server = listeners.poll();
        while (server != null) {
            server.register(selector, SelectionKey.OP_ACCEPT);
            servers.add(server);
            server = listeners.poll();
        }
    }

    private void serve(SelectionKey key, long now) {
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
            LOG.log(System.Logger.Level.WARNING, "link: a connection was not taken; why=" + e.getMessage());
        }
    }

    private TcpLink add(SocketChannel channel, Optional<HostPort> kept, long now) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        TcpLink link = new TcpLink(this, options, channel, kept, now);
        links.add(link);
        return link;
    }

    private void start(TcpLink link, SelectionKey key, long now) {
        key.interestOps(SelectionKey.OP_READ);
        link.silence.heard(now);
        link.send(hello.get());
    }

    private void read(TcpLink link, long now) throws IOException {
        for (int i = 0; i < READS_EACH && link.isOpen(); i++) {
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
            deliver(link, now);
        }
    }

    private void deliver(TcpLink link, long now) {
        while (link.isOpen()) {
            try {
                Optional<Message> message = link.reader.next();
                if (message.isEmpty()) {
                    return;
                }
                link.silence.heard(now);
                counters.framesIn.increment();
                receive(link, message.get());
            } catch (FrameException e) {
                refuse(link, e);
            }
        }
    }

    private void refuse(TcpLink link, FrameException e) {
        if (e.kind().isFatal()) {
            counters.garbage.increment();
            close(link, e.getMessage());
        } else {
            counters.skipped.increment();
            LOG.log(System.Logger.Level.DEBUG, "link: a message was skipped; peer=" + link + " why=" + e.getMessage());
        }
    }

    private void receive(TcpLink link, Message message) {
        if (link.isIntroduced()) {
            link.expand(message).ifPresent(whole -> guard(link, () -> listener.received(link, whole)));
            return;
        }
        if (!(message instanceof Hello said)) {
            counters.garbage.increment();
            close(link, "the first message is not a hello");
            return;
        }
        link.introduce(said);
        counters.opened.increment();
        link.kept().map(diallers::get).ifPresent(Dialler::succeeded);
        LOG.log(System.Logger.Level.DEBUG, "link: opened; peer=" + link);
        guard(link, () -> listener.opened(link));
    }

    /** A fault of the listener over one message must not end the thread that all links depend on. */
    private void guard(TcpLink link, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "link: a listener failed, its link is closed; peer=" + link, e);
            close(link, "a listener failed");
        }
    }

    private void flushAsked(long now) {
        TcpLink link = flushes.poll();
        while (link != null) {
            flushOne(link, now);
            link = flushes.poll();
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
                dialler.failed(now);
            }
        }
    }

    private void watch(long now) {
        boolean all = beatAsked;
        beatAsked = false;
        for (TcpLink link : new ArrayList<>(links)) {
            if (link.kept().isPresent() && !diallers.containsKey(link.kept().get())) {
                close(link, "no longer needed");
            } else if (link.silence.isSilent(now)) {
                counters.silent.increment();
                close(link, "silent for " + SilenceDetector.INTERVALS + " heartbeats");
            } else if (link.hasUnsent() && link.silence.isStalled(now)) {
                counters.silent.increment();
                close(link, "took nothing for " + SilenceDetector.INTERVALS + " heartbeats");
            } else if ((link.silence.takeBeat(now) || all) && link.channel.isConnected()) {
                link.beat(heartbeat.get());
            }
        }
    }

    private void close(TcpLink link, String why) {
        link.markClosed(why);
        if (!links.remove(link)) {
            return;
        }
        closeQuietly(link.channel);
        link.kept()
                .map(diallers::get)
                .filter(dialler -> dialler.link == link)
                .ifPresent(dialler -> dialler.failed(System.nanoTime()));
        if (link.isIntroduced()) {
            LOG.log(System.Logger.Level.INFO, "link: closed; peer=" + link + " why=" + link.closeReason());
            guard(link, () -> listener.closed(link, link.closeReason()));
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
