package org.cornelramp.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.standins.service.ServiceStandIn;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;

/**
 * One booking: requests a key, then makes the call with it, and retries with the same key when no final answer came.
 * The HTTP client calls it from one thread at a time.
 *
 * <p>Invariant: produces exactly one sample, and uses one key in all attempts once it has one.
 */
final class BookingAttempts {
    private static final int MAX_ATTEMPTS = 6;
    private static final int MAX_BYTES = 1 << 20;

    private final HttpClient http;
    private final List<String> entries;
    private final String callerKey;
    private final ServiceCallPlan call;
    private final Deadline deadline;
    private final Consumer<Sample> sink;
    private int attempts;
    private String key = "";

    BookingAttempts(
            HttpClient http,
            List<String> entries,
            String callerKey,
            ServiceCallPlan call,
            long plannedNanos,
            Consumer<Sample> sink) {
        this.http = http;
        this.entries = entries;
        this.callerKey = callerKey;
        this.call = call;
        this.deadline = new Deadline(plannedNanos, call.deadlineMillis());
        this.sink = sink;
    }

    void send() {
        String url = entries.get((call.entry() + attempts) % entries.size());
        attempts++;
        if (key.isEmpty()) {
            String body = "{\"service\":\"" + FleetPlan.SERVICE + "\"}";
            exchange(url + "/v1/keys", Map.of(), body, this::onKeyReply);
        } else {
            String path = url + "/services/" + FleetPlan.SERVICE + "/book";
            exchange(path, Map.of("Idempotency-Key", key), call.body(), this::onBookingReply);
        }
    }

    private void exchange(String url, Map<String, String> extraHeaders, String body, Consumer<Reply> onReply) {
        Request request = http.POST(url)
                .headers(headers -> {
                    headers.put("Authorization", "Bearer " + callerKey);
                    headers.put("Cornelramp-Deadline-Millis", Long.toString(deadline.leftMillis()));
                    extraHeaders.forEach(headers::put);
                })
                .body(new StringRequestContent("application/json", body))
                .timeout(deadline.timeoutMillis(), TimeUnit.MILLISECONDS);
        request.send(new BufferingResponseListener(MAX_BYTES) {
            @Override
            public void onComplete(Result result) {
                byte[] content = getContent() == null ? new byte[0] : getContent();
                int status = result.isSucceeded() ? result.getResponse().getStatus() : 0;
                String text = new String(content, StandardCharsets.UTF_8);
                onReply.accept(new Reply(status, ChatAnswer.parse(text), String.valueOf(result.getFailure())));
            }
        });
    }

    private void onKeyReply(Reply reply) {
        if (reply.status() == 200) {
            key = reply.json().path("key").asText();
            attempts--;
            send();
        } else {
            onFailedAttempt(reply);
        }
    }

    private void onBookingReply(Reply reply) {
        if (reply.status() != 200) {
            onFailedAttempt(reply);
            return;
        }
        long now = System.nanoTime();
        String digest = ServiceStandIn.digest(call.body());
        boolean correct = reply.json().path("key").asText().equals(key)
                && reply.json().path("digest").asText().equals(digest);
        CallEnd end = deadline.isMet(now) ? CallEnd.IN_TIME : CallEnd.LATE;
        complete(correct ? end : CallEnd.WRONG, now, correct ? "" : "body");
    }

    private void onFailedAttempt(Reply reply) {
        String outcome = reply.json().path("outcome").asText();
        String kind = reply.json().path("kind").asText("status-" + reply.status());
        boolean retry = attempts < MAX_ATTEMPTS && !deadline.isPast();
        if (reply.status() == 0 && retry) {
            send();
        } else if (reply.status() == 0) {
            complete(CallEnd.CUT, System.nanoTime(), reply.failure());
        } else {
            complete(outcome.equals("not-run") ? CallEnd.NOT_RUN : CallEnd.UNKNOWN, System.nanoTime(), kind);
        }
    }

    private void complete(CallEnd end, long now, String detail) {
        sink.accept(new Sample(call.organisation(), deadline.plannedNanos(), now, now, end, 0, attempts, detail));
    }

    /** One answer; status 0 if none came. */
    private record Reply(int status, JsonNode json, String failure) {}
}
