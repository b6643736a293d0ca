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

/** What the tests with real processes share. Stateless, safe for use by any thread. */
final class Processes {
    /** Longest time that a test waits for anything; far above what it takes on a busy machine. */
    static final Duration LIMIT = Duration.ofSeconds(60);

    private static final int LAYERS = 24;
    private static final long CLOCK_AHEAD_MILLIS = 58_000;

    private Processes() {}

    /** Folder of the checkout, in which the build has put the jars. */
    static Path home() {
        Path folder = Path.of("").toAbsolutePath();
        while (!Files.exists(folder.resolve("bin/cornelrampd"))) {
            folder = folder.getParent();
        }
        return folder;
    }

    static int layers() {
        return LAYERS;
    }

    static Map<String, String> caller(int organisation) {
        return Map.of("Authorization", "Bearer " + Fleet.callerKey(organisation));
    }

    static Map<String, String> caller(int organisation, String key) {
        return Map.of("Authorization", "Bearer " + Fleet.callerKey(organisation), "Idempotency-Key", key);
    }

    static String mintKey(Fleet fleet, Member entry, int organisation) {
        String body = "{\"service\":\"" + FleetPlan.SERVICE + "\"}";
        JsonHttp.Answer answer = fleet.http().send("POST", entry.url() + "/v1/keys", caller(organisation), body);
        if (answer.status() >= 300) {
            throw new AssertionError("no key: " + answer);
        }
        return fleet.http().read(answer.body()).get("key").asText();
    }

    static JsonHttp.Answer book(Fleet fleet, Member entry, int organisation, String key, String body) {
        return fleet.http().send("POST", entry.url() + "/services/booking/book", caller(organisation, key), body);
    }

    static JsonHttp.Answer chat(Fleet fleet, Member entry, int organisation, String prompt, int maxTokens) {
        String body = "{\"model\":\"" + FleetPlan.MODEL + "\",\"max_tokens\":" + maxTokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
        return fleet.http().send("POST", entry.url() + "/v1/chat/completions", caller(organisation), body);
    }

    /** Times that the services of a fleet have run a key. */
    static long effects(Fleet fleet, String key) {
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

    /** Books on a thread of its own. */
    static CompletableFuture<JsonHttp.Answer> bookLater(Fleet fleet, Member entry, String key, String body) {
        return CompletableFuture.supplyAsync(() -> book(fleet, entry, 0, key, body));
    }

    /** What the caller is told of the effect. */
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
     * A caller's own key: a UUIDv7 by a clock that runs ahead, as clocks may. An entry can prove that a key never ran
     * only if it has watched the agents since a minute before the key's time, and a test's fleet is younger.
     */
    static String ownKey(int number) {
        long millis = System.currentTimeMillis() + CLOCK_AHEAD_MILLIS;
        return String.format("%08x-%04x-7000-8000-%012x", millis >>> 16, millis & 0xffff, number);
    }
}
