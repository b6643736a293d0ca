package org.cornelramp.gateway;

import org.cornelramp.platform.ConnectWatch;
import org.eclipse.jetty.client.AbstractConnectionPool;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/** The HTTP clients of one gateway, on shared threads. Started once; the clients are safe for use by any thread. */
public final class HttpClients {
    private static final int MAX_THREADS = 16;
    private static final int MIN_THREADS = 4;

    /** Answers come within a few milliseconds; a backend server that takes no connection by then is dead. */
    private static final long CONNECT_MILLIS = 500;

    /** Shorter than the time after which backend servers close idle connections. */
    private static final long IDLE_MILLIS = 25_000;

    private static final int MOST_CONNECTIONS = 512;

    private final QueuedThreadPool threads = new PlainThreads();
    private final ScheduledExecutorScheduler timers = new ScheduledExecutorScheduler("timers", true);
    private final TurnAwareScheduler pooledConnects = new TurnAwareScheduler(timers);
    private final TurnAwareScheduler singleConnects = new TurnAwareScheduler(timers);
    private final HttpClient pooled;
    private final HttpClient single;

    /** Threads made without the security manager's help, whose preparation takes a tenth of a start. */
    private static final class PlainThreads extends QueuedThreadPool {
        PlainThreads() {
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

    HttpClients() {
        threads.setName("http");
        pooled = client(-1, pooledConnects);
        single = client(1, singleConnects);
    }

    private HttpClient client(int usages, TurnAwareScheduler connectTimers) {
        ConnectWatch connects = new ConnectWatch();
        ClientConnector connector = new ResetAwareConnector(connects, connectTimers);
        connector.setExecutor(threads);
        connector.setSelectors(1);
        HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
        transport.setConnectionPoolFactory(destination -> {
            AbstractConnectionPool pool = new DuplexConnectionPool(
                    destination, destination.getHttpClient().getMaxConnectionsPerDestination());
            pool.setMaxUsage(usages);
            return pool;
        });
        HttpClient client = new HttpClient(transport);
        client.addBean(connects);
        client.setExecutor(threads);
        client.setScheduler(timers);
        client.setConnectTimeout(CONNECT_MILLIS);
        client.setIdleTimeout(IDLE_MILLIS);
        client.setMaxConnectionsPerDestination(MOST_CONNECTIONS);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        return client;
    }

    void start() throws Exception {
        threads.start();
        timers.start();
        for (HttpClient client : new HttpClient[] {pooled, single}) {
            client.start();
            // An answer is passed on as it came: neither decoded, nor followed, nor answered.
            client.getContentDecoderFactories().clear();
            client.getProtocolHandlers().clear();
        }
    }

    void stop() throws Exception {
        pooled.stop();
        single.stop();
        timers.stop();
        threads.stop();
    }

    /** Sends over kept connections. */
    public HttpClient pooled() {
        return pooled;
    }

    /** Sends each request over a connection of its own. */
    public HttpClient single() {
        return single;
    }

    /** Connects under way. */
    public int connectsUnderWay() {
        return underWay(pooled) + underWay(single);
    }

    private static int underWay(HttpClient client) {
        return client.getBean(ConnectWatch.class).underWay();
    }

    /** Connects that this process noticed only after their timeout, although the other side had taken them in time. */
    public long lateConnects() {
        return pooledConnects.late() + singleConnects.late();
    }

    /** The threads, for the server as well. */
    QueuedThreadPool threads() {
        return threads;
    }
}
