package org.cornelramp.systemtests;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.fleet.JsonHttp;
import org.cornelramp.bench.fleet.Member;

/** Requests, keys and waits shared by the tests with real processes. Stateless, safe for use by any thread. */
final class FleetActions {
    /** Maximum time that a test waits for a condition; far above what is needed on a busy machine. */
    static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(60);

    private static final int LAYERS = 24;
    private static final long CLOCK_AHEAD_MILLIS = 58_000;

    private FleetActions() {}

    /** Root folder of the checkout, which contains the jars that the build produced. */
    static Path checkoutRoot() {
        Path folder = Path.of("").toAbsolutePath();
        while (!Files.exists(folder.resolve("bin/cornelrampd"))) {
            folder = folder.getParent();
        }
        return folder;
    }

    static int layers() {
        return LAYERS;
    }

    static Map<String, String> callerHeaders(int organisation) {
        return Map.of("Authorization", "Bearer " + Fleet.callerKey(organisation));
    }

    static Map<String, String> callerHeaders(int organisation, String key) {
        return Map.of("Authorization", "Bearer " + Fleet.callerKey(organisation), "Idempotency-Key", key);
    }

    static String mintKey(Fleet fleet, Member entry, int organisation) {
        String body = "{\"service\":\"" + FleetPlan.SERVICE + "\"}";
        JsonHttp.Answer answer = fleet.http().send("POST", entry.url() + "/v1/keys", callerHeaders(organisation), body);
        if (answer.status() >= 300) {
            throw new AssertionError("the entry issued no key: " + answer);
        }
        return fleet.http().read(answer.body()).get("key").asText();
    }

    static JsonHttp.Answer book(Fleet fleet, Member entry, int organisation, String key, String body) {
        return fleet.http()
                .send("POST", entry.url() + "/services/booking/book", callerHeaders(organisation, key), body);
    }

    static JsonHttp.Answer chat(Fleet fleet, Member entry, int organisation, String prompt, int maxTokens) {
        String body = "{\"model\":\"" + FleetPlan.MODEL + "\",\"max_tokens\":" + maxTokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
        return fleet.http().send("POST", entry.url() + "/v1/chat/completions", callerHeaders(organisation), body);
    }

    /** Number of times that the services of a fleet have run the call of a key. */
    static long effectCount(Fleet fleet, String key) {
        long count = 0;
        for (Member service : fleet.services()) {
            for (var event : fleet.trace(service.backendUrl())) {
                if (key.equals(event.path("key").asText())) {
                    count++;
                }
            }
        }
        return count;
    }

    /** Sends a booking for the first organisation on another thread. */
    static CompletableFuture<JsonHttp.Answer> bookAsync(Fleet fleet, Member entry, String key, String body) {
        return CompletableFuture.supplyAsync(() -> book(fleet, entry, 0, key, body));
    }

    /** The outcome that a response reports to the caller. */
    static String outcome(Fleet fleet, JsonHttp.Answer answer) {
        return answer.status() == 200
                ? "answered"
                : fleet.http().read(answer.body()).path("outcome").asText("none: " + answer);
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * A key as a caller makes it: a UUIDv7 whose time is in the future, since the clock of a caller may run ahead. An
     * entry can prove that a key never ran only if it has observed the agents since a minute before the time of the key,
     * and the fleet of a test has not run that long.
     */
    static String callerMadeKey(int number) {
        long millis = System.currentTimeMillis() + CLOCK_AHEAD_MILLIS;
        return String.format("%08x-%04x-7000-8000-%012x", millis >>> 16, millis & 0xffff, number);
    }
}
