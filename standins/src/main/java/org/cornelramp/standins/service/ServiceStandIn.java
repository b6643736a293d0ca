package org.cornelramp.standins.service;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Clock;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.standins.http.Call;
import org.cornelramp.standins.http.Faults;
import org.cornelramp.standins.http.Reply;
import org.cornelramp.standins.http.StandIn;
import org.cornelramp.standins.http.Timer;
import org.cornelramp.standins.http.Trace;

/**
 * Plain service in which every call other than a GET has an effect, which is added to the trace. It does not
 * deduplicate: a call with a repeated key has another effect.
 *
 * <p>Safe for use by any thread. Calls that exceed the slots are queued. The response echoes the key, the request
 * id and a digest of the body, so that a caller can tell that it is the response to its own request.
 */
public final class ServiceStandIn implements StandIn {
    private static final int MAX_TRACED_BODY_CHARS = 200;

    private final Faults faults;
    private final Trace trace;
    private final Clock clock;
    private final Timer timer;
    private final ServiceOptions options;
    private final String incarnation;
    private final long[] slotFreeAtMillis;

    public ServiceStandIn(
            Faults faults, Trace trace, Clock clock, Timer timer, ServiceOptions options, String incarnation) {
        this.faults = faults;
        this.trace = trace;
        this.clock = clock;
        this.timer = timer;
        this.options = options;
        this.incarnation = incarnation;
        this.slotFreeAtMillis = new long[options.slots()];
    }

    @Override
    public String kind() {
        return "service";
    }

    @Override
    public CompletableFuture<Reply> handle(Call call) {
        if (call.matches("GET", "/v1/offer")) {
            return CompletableFuture.completedFuture(Reply.ok(offer()));
        }
        CompletableFuture<Reply> future = new CompletableFuture<>();
        long wait = reserveSlot(clock.millis());
        timer.runAfter(wait, () -> future.complete(run(call)));
        return future;
    }

    private Map<String, Object> offer() {
        return Map.of(
                "service", options.name(),
                "version", options.version(),
                "accelerator", "none",
                "slots", options.slots(),
                "life", incarnation);
    }

    /** Reserves the slot that becomes free first; returns the time until the call completes, in milliseconds. */
    private synchronized long reserveSlot(long now) {
        int first = 0;
        for (int i = 1; i < slotFreeAtMillis.length; i++) {
            first = slotFreeAtMillis[i] < slotFreeAtMillis[first] ? i : first;
        }
        long millis = Math.round(options.callMillis() * faults.number("slow-factor", 1));
        slotFreeAtMillis[first] = Math.max(now, slotFreeAtMillis[first]) + millis;
        return slotFreeAtMillis[first] - now;
    }

    private Reply run(Call call) {
        String key = call.header("Idempotency-Key").orElse("");
        String requestId = call.header("Cornelramp-Request-Id").orElse("");
        long at = clock.millis();
        if (!call.method().equals("GET")) {
            trace.add(new Effect(key, requestId, truncate(call.bodyText()), at));
        }
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("service", options.name());
        answer.put("method", call.method());
        answer.put("path", call.path());
        answer.put("key", key);
        answer.put("requestId", requestId);
        answer.put("digest", digest(call.body()));
        return Reply.ok(answer);
    }

    private static String truncate(String text) {
        return text.substring(0, Math.min(text.length(), MAX_TRACED_BODY_CHARS));
    }

    /** SHA-256 of a body in lower-case hexadecimal, as responses carry it. */
    public static String digest(byte[] body) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java platform has SHA-256", e);
        }
    }

    /** SHA-256 of a text in UTF-8, in lower-case hexadecimal. */
    public static String digest(String text) {
        return digest(text.getBytes(StandardCharsets.UTF_8));
    }

    private record Effect(String key, String requestId, String body, long at) {}
}
