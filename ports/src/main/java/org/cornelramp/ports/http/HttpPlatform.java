package org.cornelramp.ports.http;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.cornelramp.ports.EngineClient;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.PlatformException;
import org.cornelramp.ports.ServiceClient;
import org.cornelramp.ports.VmListClient;
import org.cornelramp.ports.WeightStoreClient;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Creates the clients of the platform's interfaces, which share one HTTP client.
 *
 * <p>Safe for use by any thread once started. Futures complete on the HTTP client's few threads, so callbacks
 * must hand over to their own thread and never block. Invariant: no call is sent twice, since a call whose
 * answer was lost may have taken effect.
 */
public final class HttpPlatform {
    private static final int MAX_THREADS = 6;
    private static final int MIN_THREADS = 2;

    /** Most bytes of the head and trailer of an answer; without it the HTTP client keeps them without limit. */
    private static final int MAX_HEAD_BYTES = 32 << 10;

    private final HttpClient http;
    private final HttpTimeouts timeouts;
    private final ObjectMapper mapper = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    /**
     * Configures the given client, which must not have been started.
     *
     * @param http the client
     * @param timeouts timeouts of all calls
     */
    public HttpPlatform(HttpClient http, HttpTimeouts timeouts) {
        this.http = http;
        this.timeouts = timeouts;
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("platform");
        threads.setDaemon(true);
        http.setExecutor(threads);
        http.setMaxResponseHeadersSize(MAX_HEAD_BYTES);
        http.setFollowRedirects(false);
        http.setUserAgentField(null);
        http.setConnectTimeout(timeouts.connectMillis());
        http.setIdleTimeout(timeouts.idleMillis());
        http.getTransport()
                .setConnectionPoolFactory(
                        destination -> new EvictingConnectionPool(destination, http.getMaxConnectionsPerDestination()));
    }

    /** Starts the HTTP client and its threads. */
    public void start() {
        try {
            http.start();
            // Without handlers for redirects, authentication and the like, the client never resends a call.
            http.getProtocolHandlers().clear();
        } catch (Exception e) {
            throw new PlatformException(
                    PlatformException.Kind.NOT_SENT, "The HTTP client did not start, restart the process: " + e, 0);
        }
    }

    /** Stops the HTTP client and its threads; calls in progress fail. */
    public void stop() {
        try {
            http.stop();
        } catch (Exception e) {
            System.getLogger(HttpPlatform.class.getName())
                    .log(System.Logger.Level.WARNING, "platform: the HTTP client did not stop cleanly", e);
        }
    }

    /** A client of the log service at a base URL. */
    public LogClient log(String url) {
        return new HttpLogClient(calls(url));
    }

    /** A client of the VM list at a base URL. */
    public VmListClient vmList(String url) {
        return new HttpVmListClient(calls(url));
    }

    /** A client of a model engine at a base URL. */
    public EngineClient engine(String url) {
        return new HttpEngineClient(calls(url));
    }

    /** A client of a plain service at a base URL. */
    public ServiceClient service(String url) {
        return new HttpServiceClient(calls(url));
    }

    /** A client of the weight store at a base URL. */
    public WeightStoreClient weightStore(String url) {
        return new HttpWeightStoreClient(calls(url));
    }

    private HttpCalls calls(String url) {
        return new HttpCalls(http, mapper, timeouts, url);
    }
}
