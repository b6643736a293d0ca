package org.cornelramp.bench.load;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.cornelramp.bench.fleet.FleetException;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Callers of a fleet, all over one HTTP client. Safe for use by any thread.
 *
 * <p>Like clients behind the platform's load balancer, a caller whose connection is refused or cut tries the next entry
 * until its deadline: a chat request is idempotent, and a booking keeps its key.
 */
public final class Callers implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 8_192;
    private static final int MAX_QUEUED = 65_536;
    private static final int THREADS = 16;
    private static final int SELECTORS = 2;
    private static final long CONNECT_MILLIS = 500;
    private static final long IDLE_MILLIS = 60_000;

    private final HttpClient http = new HttpClient(new HttpClientTransportOverHTTP(SELECTORS));
    private final List<String> entries;
    private final IntFunction<String> callerKeys;
    private final ExpectedText expected;

    /**
     * @param entries base URLs of the entries
     * @param callerKeys the caller key of each organisation
     * @param expected the correct answers of the model
     */
    public Callers(List<String> entries, IntFunction<String> callerKeys, ExpectedText expected) {
        this.entries = List.copyOf(entries);
        this.callerKeys = callerKeys;
        this.expected = expected;
        QueuedThreadPool threads = new QueuedThreadPool(THREADS);
        threads.setName("callers");
        threads.setDaemon(true);
        http.setExecutor(threads);
        http.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        http.setMaxRequestsQueuedPerDestination(MAX_QUEUED);
        http.setConnectTimeout(CONNECT_MILLIS);
        http.setIdleTimeout(IDLE_MILLIS);
        http.setFollowRedirects(false);
        try {
            http.start();
        } catch (Exception e) {
            throw new FleetException("Could not start the callers", e);
        }
    }

    /** Sends a chat request; {@code sink} gets the sample on one of the callers' threads. */
    public void chat(ChatCall call, long plannedNanos, Consumer<Sample> sink) {
        new ChatAttempts(http, entries, callerKeys.apply(call.organisation()), expected, call, plannedNanos, sink)
                .send();
    }

    /** Requests a key and books with it; {@code sink} gets the sample on one of the callers' threads. */
    public void book(ServiceCallPlan call, long plannedNanos, Consumer<Sample> sink) {
        new BookingAttempts(http, entries, callerKeys.apply(call.organisation()), call, plannedNanos, sink).send();
    }

    @Override
    public void close() {
        try {
            http.stop();
        } catch (Exception e) {
            throw new FleetException("Could not stop the callers", e);
        }
    }
}
