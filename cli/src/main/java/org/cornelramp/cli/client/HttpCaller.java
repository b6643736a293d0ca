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

/** Makes single HTTP calls with an operator's key. Confined to one thread. */
public final class HttpCaller implements AutoCloseable {
    private static final int MAX_ANSWER_BYTES = 128 << 20;
    private static final long CONNECT_MILLIS = 2_000;
    private static final long ANSWER_MILLIS = 30_000;
    private static final int MAX_THREADS = 8;
    private static final int MIN_THREADS = 1;

    private final HttpClient http = new HttpClient();
    private final String key;

    /**
     * @param key the operator's key
     */
    public HttpCaller(String key) {
        this.key = key;
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setDaemon(true);
        http.setExecutor(threads);
        http.setConnectTimeout(CONNECT_MILLIS);
        http.setFollowRedirects(false);
        http.setUserAgentField(null);
    }

    /** Makes one call, once. */
    public Answer call(HttpMethod method, String entry, String path, String body) throws CallFailure {
        AtomicBoolean begun = new AtomicBoolean();
        try {
            if (!http.isStarted()) {
                http.start();
                // Without handlers for authentication and the like, nothing in the client sends a call again.
                http.getProtocolHandlers().clear();
            }
            Request request = http.newRequest(entry + path)
                    .method(method)
                    .headers(headers -> headers.put(HttpHeader.AUTHORIZATION, "Bearer " + key))
                    .timeout(ANSWER_MILLIS, TimeUnit.MILLISECONDS)
                    .onRequestBegin(sent -> begun.set(true));
            if (!body.isEmpty()) {
                request.body(new StringRequestContent("application/json", body));
            }
            ContentResponse response = new CompletableResponseListener(request, MAX_ANSWER_BYTES)
                    .send()
                    .get(ANSWER_MILLIS + CONNECT_MILLIS, TimeUnit.MILLISECONDS);
            return new Answer(entry, response.getStatus(), response.getContentAsString());
        } catch (ExecutionException | TimeoutException e) {
            throw new CallFailure(begun.get(), entry + ": " + (e.getCause() == null ? e : e.getCause()).getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CallFailure(begun.get(), entry + ": interrupted");
        } catch (Exception e) {
            throw new CallFailure(begun.get(), entry + ": " + e.getMessage());
        }
    }

    @Override
    public void close() {
        try {
            http.stop();
        } catch (Exception e) {
            throw new IllegalStateException("The HTTP client did not stop", e);
        }
    }
}
