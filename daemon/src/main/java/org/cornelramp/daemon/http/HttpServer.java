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
 * The daemon's HTTP server, with a small thread pool and limits on the sizes of headers and bodies.
 *
 * <p>It continues to serve while the process drains, so that callers receive a refusal instead of a closed connection.
 * Started and stopped by the kernel's thread; {@link #address} may be called by any thread after the start.
 */
public final class HttpServer implements Component {
    private static final int MAX_THREADS = 12;
    private static final int MIN_THREADS = 4;
    private static final int BACKLOG = 1_024;
    private static final long IDLE_MILLIS = 30_000;
    private static final int CONNECTIONS_PER_REQUEST = 2;

    private final HostPort configuredAddress;
    private final Server server;
    private final ServerConnector connector;
    private volatile boolean drainStarted;

    HttpServer(HostPort configuredAddress, BoundSettings bounds, Routes routes, MeterRegistry meters) {
        this(configuredAddress, bounds, routes, meters, IDLE_MILLIS);
    }

    /**
     * @param idleMillis idle timeout in milliseconds: a connection without a request in progress is closed, and a
     *     stalled read of a body or write of an answer fails
     */
    HttpServer(HostPort configuredAddress, BoundSettings bounds, Routes routes, MeterRegistry meters, long idleMillis) {
        this.configuredAddress = configuredAddress;
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("http");
        this.server = new Server(threads);
        this.connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration(bounds)));
        connector.setHost(configuredAddress.host());
        connector.setPort(configuredAddress.port());
        connector.setAcceptQueueSize(BACKLOG);
        connector.setIdleTimeout(idleMillis);
        server.addConnector(connector);
        // Limits connections, so that callers that open many and send nothing on them cannot exhaust the memory.
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

    /** Returns the address of the server, with the port that the operating system chose if the settings give port 0. */
    public HostPort address() {
        return new HostPort(configuredAddress.host(), connector.getLocalPort());
    }

    /** Whether a planned stop has started. */
    boolean isDrainStarted() {
        return drainStarted;
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
        drainStarted = true;
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
