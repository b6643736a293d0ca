package org.cornelramp.gateway.request;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.Optional;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.route.ConfigHolder;
import org.cornelramp.gateway.route.Router;
import org.cornelramp.platform.Environment;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * The HTTP server of the gateway: accepts clients' requests, the load balancer's readiness checks, and requests for
 * metrics and from peers, each on an address of its own. Started once; {@link #beginShutdown}, {@link #refuseUnread} and
 * {@link #openRequestCount} may be called by any thread.
 */
public final class GatewayHttpServer {
    private static final int BACKLOG = 1_024;
    private static final int HEADER_BYTES = 24 * 1_024;

    /** Slightly longer than clients keep idle connections, so that the client closes first. */
    private static final long IDLE_MILLIS = 60_000;

    private final Server server;
    private final ConfigHolder config;
    private final Router router;
    private final Optional<CapacityMonitor> capacity;
    private final ClientRequestHandler requestHandler;
    private volatile boolean shuttingDown;

    /**
     * @param listener the bound channel for clients' connections, see {@link #open}
     * @param capacity decides whether this process is overloaded; empty if its limits are not known
     */
    public GatewayHttpServer(
            GatewaySettings settings,
            ServerSocketChannel listener,
            QueuedThreadPool threads,
            ConfigHolder config,
            Router router,
            Optional<CapacityMonitor> capacity,
            Handler internal,
            SteadyClock clock,
            EventLog log,
            Meters meters)
            throws IOException {
        this.config = config;
        this.router = router;
        this.capacity = capacity;
        this.server = new Server(threads);
        ServerConnector requests = connector(settings.requests(), "requests");
        requests.open(listener);
        ServerConnector readiness = connector(settings.readiness(), "readiness");
        server.addConnector(requests);
        server.addConnector(readiness);
        ServerConnector internalConnector = connector(settings.metrics(), "internal");
        server.addConnector(internalConnector);
        this.requestHandler = new ClientRequestHandler(config, router, clock, log, this::closesNext, meters);
        server.setHandler(new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) throws Exception {
                Connector connector = request.getConnectionMetaData().getConnector();
                if (connector == requests) {
                    requestHandler.handle(request, response, callback);
                } else if (connector == readiness) {
                    readiness(request, response, callback);
                } else {
                    return internal.handle(request, response, callback);
                }
                return true;
            }
        });
    }

    /**
     * Binds the address for clients' requests, long before connections are accepted. Clients that connect while the
     * process starts wait some hundred milliseconds in the kernel's accept queue. Without a bound socket they would be
     * refused at once, and a client that retries once would have used up its retry.
     */
    public static ServerSocketChannel open(HostPort address) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        return channel.bind(new InetSocketAddress(address.host(), address.port()), BACKLOG);
    }

    private ServerConnector connector(HostPort address, String name) {
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(HEADER_BYTES);
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        ServerConnector connector =
                new ServerConnector(server, null, null, null, 0, 1, new HttpConnectionFactory(http));
        connector.setName(name);
        connector.setHost(address.host());
        connector.setPort(address.port());
        connector.setAcceptQueueSize(BACKLOG);
        connector.setIdleTimeout(IDLE_MILLIS);
        return connector;
    }

    private void readiness(Request request, Response response, Callback callback) {
        boolean isReadinessPath = Request.getPathInContext(request).equals(Environment.READINESS_PATH);
        response.setStatus(!isReadinessPath ? HttpStatus.NOT_FOUND_404 : isReady() ? HttpStatus.OK_200 : 503);
        response.write(true, null, callback);
    }

    private boolean closesNext() {
        return shuttingDown || capacity.map(CapacityMonitor::closesNext).orElse(false);
    }

    private boolean isReady() {
        return isOtherwiseReady() && capacity.map(CapacityMonitor::isReady).orElse(true);
    }

    /** Whether this process is ready, apart from its load. */
    public boolean isOtherwiseReady() {
        return !shuttingDown && config.current().isPresent() && router.view().initialised();
    }

    /** Starts to accept connections. */
    public void start() throws Exception {
        server.start();
    }

    /** Closes all connections. */
    public void stop() throws Exception {
        server.stop();
    }

    /** Refuses the clients' requests that have not been read completely, as this process ends. */
    public void refuseUnread() {
        requestHandler.refuseUnread();
    }

    /** Number of clients' requests whose response has not been written completely. */
    public int openRequestCount() {
        return requestHandler.openRequestCount();
    }

    /** Reports this process as not ready from now on, and closes each connection after its next response. */
    public void beginShutdown() {
        shuttingDown = true;
    }
}
