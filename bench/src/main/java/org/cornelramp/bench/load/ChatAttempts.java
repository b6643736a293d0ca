package org.cornelramp.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelramp.bench.fleet.FleetPlan;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;

/**
 * One chat request and its successive attempts. The HTTP client calls it from one thread at a time.
 *
 * <p>Invariant: produces exactly one sample.
 */
final class ChatAttempts {
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_PROBLEM_BYTES = 16_384;

    private final HttpClient http;
    private final List<String> entries;
    private final String callerKey;
    private final ExpectedText expected;
    private final ChatCall call;
    private final Deadline deadline;
    private final Consumer<Sample> sink;
    private int attempts;
    private long firstNanos;

    ChatAttempts(
            HttpClient http,
            List<String> entries,
            String callerKey,
            ExpectedText expected,
            ChatCall call,
            long plannedNanos,
            Consumer<Sample> sink) {
        this.http = http;
        this.entries = entries;
        this.callerKey = callerKey;
        this.expected = expected;
        this.call = call;
        this.deadline = new Deadline(plannedNanos, call.deadlineMillis());
        this.sink = sink;
    }

    void send() {
        String url = entries.get((call.entry() + attempts) % entries.size());
        attempts++;
        Request request = http.POST(url + "/v1/chat/completions")
                .headers(headers -> {
                    headers.put("Authorization", "Bearer " + callerKey);
                    headers.put("Cornelramp-Deadline-Millis", Long.toString(deadline.leftMillis()));
                })
                .body(new StringRequestContent("application/json", body()))
                .timeout(deadline.timeoutMillis(), TimeUnit.MILLISECONDS);
        request.send(new Listener());
    }

    private String body() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("model", FleetPlan.MODEL);
        body.put("stream", true);
        body.put("max_tokens", call.maxTokens());
        body.putArray("messages").addObject().put("role", "user").put("content", call.content());
        return body.toString();
    }

    private void onAttemptEnd(Result result, ChatAnswer answer, StringBuilder problemText) {
        long now = System.nanoTime();
        JsonNode problem = answer.problem();
        if (problem == null && result.isSucceeded() && result.getResponse().getStatus() != 200) {
            problem = ChatAnswer.parse(problemText.toString());
        }
        if (problem != null) {
            complete(endOf(problem), 0, now, problem.path("kind").asText("status-" + status(result)));
        } else if (result.isSucceeded() && answer.isDone()) {
            boolean correct = answer.text().equals(expected.of(call.content(), call.maxTokens()));
            CallEnd end = deadline.isMet(now) ? CallEnd.IN_TIME : CallEnd.LATE;
            complete(correct ? end : CallEnd.WRONG, call.maxTokens(), now, correct ? "" : "text");
        } else if (attempts < MAX_ATTEMPTS && !deadline.isPast()) {
            send();
        } else {
            complete(CallEnd.CUT, 0, now, String.valueOf(result.getFailure()));
        }
    }

    private static int status(Result result) {
        return result.getResponse() == null ? 0 : result.getResponse().getStatus();
    }

    private static CallEnd endOf(JsonNode problem) {
        return problem.path("outcome").asText().equals("not-run") ? CallEnd.NOT_RUN : CallEnd.UNKNOWN;
    }

    private void complete(CallEnd end, int tokens, long now, String detail) {
        sink.accept(new Sample(
                call.organisation(), deadline.plannedNanos(), firstNanos, now, end, tokens, attempts, detail));
    }

    /** Reads the answer to one attempt: the events of a stream, or the body of a problem. */
    private final class Listener implements Response.Listener {
        private final EventStreamReader events = new EventStreamReader();
        private final ChatAnswer answer = new ChatAnswer();
        private final StringBuilder problemText = new StringBuilder();

        @Override
        public void onContent(Response response, ByteBuffer content) {
            if (response.getStatus() != 200) {
                if (problemText.length() < MAX_PROBLEM_BYTES) {
                    problemText.append(StandardCharsets.UTF_8.decode(content));
                }
                return;
            }
            for (String data : events.read(content)) {
                if (answer.add(data) && firstNanos == 0) {
                    firstNanos = System.nanoTime();
                }
            }
        }

        @Override
        public void onComplete(Result result) {
            onAttemptEnd(result, answer, problemText);
        }
    }
}
