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
 * A plain service: every call but a GET is an effect, whatever key it carries, and is traced as one.
 *
 * <p>Safe for use by any thread. Calls beyond the slots wait their turn. The answer echoes key, request id and a
 * digest of the body, so that a caller can tell that it is the answer to its own request.
 */
public final class ServiceStandIn implements StandIn {
    private static final int BODY_CHARS = 200;

    private final Faults faults;
    private final Trace trace;
    private final Clock clock;
    private final Timer timer;
    private final ServiceOptions options;
    private final String life;
    private final long[] slotFreeAt;

    public ServiceStandIn(Faults faults, Trace trace, Clock clock, Timer timer, ServiceOptions options, String life) {
        this.faults = faults;
        this.trace = trace;
        this.clock = clock;
        this.timer = timer;
        this.options = options;
        this.life = life;
        this.slotFreeAt = new long[options.slots()];
    }

    @Override
    public String kind() {
        return "service";
    }

    @Override
    public CompletableFuture<Reply> handle(Call call) {
        if (call.is("GET", "/v1/offer")) {
            return CompletableFuture.completedFuture(Reply.ok(offer()));
        }
        CompletableFuture<Reply> future = new CompletableFuture<>();
        long wait = reserve(clock.millis());
        timer.after(wait, () -> future.complete(run(call)));
        return future;
    }

    private Map<String, Object> offer() {
        return Map.of(
                "service", options.name(),
                "version", options.version(),
                "accelerator", "none",
                "slots", options.slots(),
                "life", life);
    }

    /** Takes the slot that is free first; gives the time until the call is done. */
    private synchronized long reserve(long now) {
        int first = 0;
        for (int i = 1; i < slotFreeAt.length; i++) {
            first = slotFreeAt[i] < slotFreeAt[first] ? i : first;
        }
        long millis = Math.round(options.millis() * faults.number("slow-factor", 1));
        slotFreeAt[first] = Math.max(now, slotFreeAt[first]) + millis;
        return slotFreeAt[first] - now;
    }

    private Reply run(Call call) {
        String key = call.header("Idempotency-Key").orElse("");
        String requestId = call.header("Cornelramp-Request-Id").orElse("");
        long at = clock.millis();
        if (!call.method().equals("GET")) {
            trace.add(new Effect(key, requestId, start(call.text()), at));
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

    private static String start(String text) {
        return text.substring(0, Math.min(text.length(), BODY_CHARS));
    }

    /** SHA-256 of a body in lower-case hexadecimal, as answers carry it. */
    public static String digest(byte[] body) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java platform has SHA-256", e);
        }
    }

    /** SHA-256 of a text. */
    public static String digest(String text) {
        return digest(text.getBytes(StandardCharsets.UTF_8));
    }

    private record Effect(String key, String requestId, String body, long at) {}
}
