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
    private static final int MAX_RESPONSE_BYTES = 128 << 20;
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long RESPONSE_TIMEOUT_MILLIS = 30_000;
    private static final int MAX_THREADS = 8;
    private static final int MIN_THREADS = 1;

    private final HttpClient http = new HttpClient();
    private final String key;

    /**
     * @param key the operator's key
     */
    public OperatorHttpClient(String key) {
        this.key = key;
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
                    .headers(headers -> headers.put(HttpHeader.AUTHORIZATION, "Bearer " + key))
                    .timeout(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .onRequestBegin(begunRequest -> begun.set(true));
            if (!body.isEmpty()) {
                request.body(new StringRequestContent("application/json", body));
            }
            ContentResponse response = new CompletableResponseListener(request, MAX_RESPONSE_BYTES)
                    .send()
                    .get(RESPONSE_TIMEOUT_MILLIS + CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
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
