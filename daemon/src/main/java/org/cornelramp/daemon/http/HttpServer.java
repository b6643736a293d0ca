package org.cornelramp.daemon.http;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Instant;
import org.cornelramp.core.settings.BoundSettings;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.daemon.kernel.Component;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.SizeLimitHandler;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * The daemon's HTTP server: few threads, bounded heads and bodies.
 *
 * <p>It goes on serving while the process drains, so that callers hear a refusal instead of a closed connection.
 * Started and stopped by the kernel's thread; {@link #address} may be called by any thread after the start.
 */
public final class HttpServer implements Component {
    private static final int MAX_THREADS = 12;
    private static final int MIN_THREADS = 4;
    private static final int BACKLOG = 1_024;
    private static final long IDLE_MILLIS = 30_000;
    private static final int CONNECTIONS_PER_REQUEST = 2;

    private final HostPort wanted;
    private final Server server;
    private final ServerConnector connector;
    private volatile boolean leaving;

    HttpServer(HostPort wanted, BoundSettings bounds, Routes routes, MeterRegistry meters) {
        this(wanted, bounds, routes, meters, IDLE_MILLIS);
    }

    /**
     * @param idleMillis silence after which a connection without a request in progress is closed, and a body that
     *     does not come on or an answer that is not taken is given up on
     */
    HttpServer(HostPort wanted, BoundSettings bounds, Routes routes, MeterRegistry meters, long idleMillis) {
        this.wanted = wanted;
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("http");
        this.server = new Server(threads);
        this.connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration(bounds)));
        connector.setHost(wanted.host());
        connector.setPort(wanted.port());
        connector.setAcceptQueueSize(BACKLOG);
        connector.setIdleTimeout(idleMillis);
        server.addConnector(connector);
        // A caller that opens connections and sends nothing on them must not fill the memory.
        server.addBean(new NetworkConnectionLimit(CONNECTIONS_PER_REQUEST * bounds.inProgress() + MAX_THREADS, server));
        SizeLimitHandler limit = new SizeLimitHandler(bounds.bodyBytes(), -1);
        limit.setHandler(new RouteHandler(routes, meters));
        server.setHandler(new BodyLengthLimit(bounds.bodyBytes(), limit));
        server.setErrorHandler(new ProblemErrorHandler(meters));
    }

    private static HttpConfiguration configuration(BoundSettings bounds) {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setRequestHeaderSize(bounds.headerBytes());
        configuration.setSendServerVersion(false);
        return configuration;
    }

    /** The address that is served, with the port that the system chose if the settings left it open. */
    public HostPort address() {
        return new HostPort(wanted.host(), connector.getLocalPort());
    }

    /** Whether a planned stop has begun. */
    boolean isLeaving() {
        return leaving;
    }

    @Override
    public String name() {
        return "http";
    }

    @Override
    public void start() throws Exception {
        server.start();
    }

    @Override
    public void drain(Instant limit) {
        leaving = true;
    }

    @Override
    public void stop() {
        try {
            server.stop();
        } catch (Exception e) {
            System.getLogger(HttpServer.class.getName())
                    .log(System.Logger.Level.WARNING, "http: the server did not stop cleanly", e);
        }
    }
}
