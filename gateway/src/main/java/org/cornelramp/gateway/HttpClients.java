package org.cornelramp.gateway;

import org.cornelramp.platform.ConnectTracker;
import org.eclipse.jetty.client.AbstractConnectionPool;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/** The HTTP clients of one gateway, on shared threads. Started once; the clients are safe for use by any thread. */
public final class HttpClients {
    private static final int MAX_THREADS = 16;
    private static final int MIN_THREADS = 4;

    /**
     * Connect timeout. Connects usually take a few milliseconds; a backend server that accepts none in this time is
     * dead.
     */
    private static final long CONNECT_TIMEOUT_MILLIS = 500;

    /** Idle timeout of connections other than those to the store; shorter than that of backend servers. */
    private static final long IDLE_TIMEOUT_MILLIS = 25_000;

    private static final int MAX_CONNECTIONS = 512;

    /**
     * Most bytes of a response's head and trailer, twice what the sample configuration allows for a request's; without
     * it the HTTP library keeps them without limit.
     */
    private static final int MAX_HEAD_BYTES = 32 << 10;

    private final QueuedThreadPool threads = new PlainThreadPool();
    private final ScheduledExecutorScheduler timers = new ScheduledExecutorScheduler("timers", true);
    private final SelectorAwareScheduler pooledConnects = new SelectorAwareScheduler(timers);
    private final SelectorAwareScheduler singleConnects = new SelectorAwareScheduler(timers);
    private final SelectorAwareScheduler storeConnects = new SelectorAwareScheduler(timers);
    private final HttpClient pooled;
    private final HttpClient unpooled;
    private final HttpClient store;

    /** Creates threads without using the security manager, whose initialisation takes a tenth of a start. */
    private static final class PlainThreadPool extends QueuedThreadPool {
        PlainThreadPool() {
            super(MAX_THREADS, MIN_THREADS);
        }

        @Override
        public Thread newThread(Runnable task) {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            thread.setName(getName() + "-" + thread.getId());
            return thread;
        }
    }

    /** @param storeIdleMillis idle time after which a connection to the store is closed */
    HttpClients(long storeIdleMillis) {
        threads.setName("http");
        pooled = client(-1, IDLE_TIMEOUT_MILLIS, pooledConnects);
        unpooled = client(1, IDLE_TIMEOUT_MILLIS, singleConnects);
        store = client(-1, storeIdleMillis, storeConnects);
    }

    private HttpClient client(int maxUsage, long idleMillis, SelectorAwareScheduler connectTimers) {
        ConnectTracker connectWatch = new ConnectTracker();
        ClientConnector connector = new ResetAwareConnector(connectWatch, connectTimers);
        connector.setExecutor(threads);
        connector.setSelectors(1);
        HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
        transport.setConnectionPoolFactory(destination -> {
            AbstractConnectionPool pool = new DuplexConnectionPool(
                    destination, destination.getHttpClient().getMaxConnectionsPerDestination());
            pool.setMaxUsage(maxUsage);
            return pool;
        });
        HttpClient client = new HttpClient(transport);
        // An abort releases the buffer of a connection that another thread may be reading into. In a pool it would then
        // belong to two responses, and bytes of a faulty server could appear in another server's response.
        client.setByteBufferPool(new ByteBufferPool.NonPooling());
        client.setUseInputDirectByteBuffers(false);
        client.setUseOutputDirectByteBuffers(false);
        client.addBean(connectWatch);
        client.setExecutor(threads);
        client.setScheduler(timers);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setIdleTimeout(idleMillis);
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setMaxResponseHeadersSize(MAX_HEAD_BYTES);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        return client;
    }

    void start() throws Exception {
        threads.start();
        timers.start();
        for (HttpClient client : new HttpClient[] {pooled, unpooled, store}) {
            client.start();
            // Responses are forwarded unchanged: no content decoding, redirects or authentication.
            client.getContentDecoderFactories().clear();
            client.getProtocolHandlers().clear();
        }
    }

    void stop() throws Exception {
        pooled.stop();
        unpooled.stop();
        store.stop();
        timers.stop();
        threads.stop();
    }

    /** The client that reuses pooled connections. */
    public HttpClient pooled() {
        return pooled;
    }

    /** The client that opens a new connection for each request. */
    public HttpClient unpooled() {
        return unpooled;
    }

    /** The client for calls to the store, which closes connections that have been idle for a short time. */
    public HttpClient store() {
        return store;
    }

    /** Number of connects in progress. */
    public int connectsUnderWay() {
        return underWay(pooled) + underWay(unpooled) + underWay(store);
    }

    private static int underWay(HttpClient client) {
        return client.getBean(ConnectTracker.class).inProgress();
    }

    /**
     * Number of connects whose completion this process noticed only after their timeout, though the peer had accepted
     * in time.
     */
    public long lateConnects() {
        return pooledConnects.cancelledLate() + singleConnects.cancelledLate() + storeConnects.cancelledLate();
    }

    /** The thread pool, which the server shares. */
    QueuedThreadPool threads() {
        return threads;
    }
}
