package org.cornelramp.cli.client;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Sends HTTP requests with an operator's key, without retries. Confined to one thread. */
public final class OperatorHttpClient implements AutoCloseable {
    private static final int MAX_ENTRY_RESPONSE_BYTES = 128 << 20;
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long ENTRY_TIMEOUT_MILLIS = 30_000;

    /** A gateway answers within a second, with at most a few kilobytes. */
    private static final long GATEWAY_TIMEOUT_MILLIS = 5_000;

    private static final int MAX_GATEWAY_RESPONSE_BYTES = 256 << 10;
    private static final int MAX_THREADS = 8;
    private static final int MIN_THREADS = 1;

    private final HttpClient http = new HttpClient();
    private final String key;
    private final long timeoutMillis;
    private final int maxResponseBytes;

    /**
     * Creates a client for entries.
     *
     * @param key the operator's key
     */
    public OperatorHttpClient(String key) {
        this(key, ENTRY_TIMEOUT_MILLIS, MAX_ENTRY_RESPONSE_BYTES);
    }

    /** Creates a client for gateways, which get no key: an operator's key belongs to the entries. */
    public static OperatorHttpClient forGateways() {
        return new OperatorHttpClient("", GATEWAY_TIMEOUT_MILLIS, MAX_GATEWAY_RESPONSE_BYTES);
    }

    private OperatorHttpClient(String key, long timeoutMillis, int maxResponseBytes) {
        this.key = key;
        this.timeoutMillis = timeoutMillis;
        this.maxResponseBytes = maxResponseBytes;
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setDaemon(true);
        http.setExecutor(threads);
        http.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        http.setFollowRedirects(false);
        http.setUserAgentField(null);
    }

    /**
     * Sends one request and waits for the response.
     *
     * @param entry base URL of the entry
     * @param body JSON body; empty for a request without a body
     * @throws CallException if no complete response came within the time limits
     */
    public EntryResponse call(HttpMethod method, String entry, String path, String body) throws CallException {
        AtomicBoolean begun = new AtomicBoolean();
        try {
            if (!http.isStarted()) {
                http.start();
                // Protocol handlers, such as the one for authentication, would send a request again.
                http.getProtocolHandlers().clear();
            }
            Request request = http.newRequest(entry + path)
                    .method(method)
                    .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                    .onRequestBegin(begunRequest -> begun.set(true));
            if (!key.isEmpty()) {
                request.headers(headers -> headers.put(HttpHeader.AUTHORIZATION, "Bearer " + key));
            }
            if (!body.isEmpty()) {
                request.body(new StringRequestContent("application/json", body));
            }
            ContentResponse response = new CompletableResponseListener(request, maxResponseBytes)
                    .send()
                    .get(timeoutMillis + CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            return new EntryResponse(entry, response.getStatus(), response.getContentAsString());
        } catch (ExecutionException | TimeoutException e) {
            throw new CallException(begun.get(), entry + ": " + (e.getCause() == null ? e : e.getCause()).getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CallException(begun.get(), entry + ": interrupted");
        } catch (Exception e) {
            throw new CallException(begun.get(), entry + ": " + e.getMessage());
        }
    }

    @Override
    public void close() {
        try {
            http.stop();
        } catch (Exception e) {
            throw new IllegalStateException("The HTTP client could not be stopped", e);
        }
    }
}
