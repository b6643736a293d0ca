package org.cornelramp.bench.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetException;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.fleet.JsonHttp;
import org.cornelramp.bench.fleet.Member;

/**
 * Edits one row of the table through the entries as operators do, each edit with a distinct weight, and records which
 * edits were accepted. Safe for use by any thread.
 */
public final class Operators implements AutoCloseable {
    private static final String ORGANISATION = "org-0";
    private static final Map<String, String> HEADERS = Map.of("Authorization", "Bearer " + Fleet.OPERATOR_KEY);

    private final List<Member> entries;
    private final Violations violations;
    private final ObjectMapper mapper = new ObjectMapper();
    private final JsonHttp http = new JsonHttp();
    private final AtomicInteger editCount = new AtomicInteger();
    private final List<Accepted> accepted = new ArrayList<>();

    public Operators(List<Member> entries, Violations violations) {
        this.entries = List.copyOf(entries);
        this.violations = violations;
    }

    /** An accepted edit. Immutable, safe for use by any thread. */
    public record Accepted(long version, int weight) {}

    /** Version and weight of the row as an entry shows it. Immutable, safe for use by any thread. */
    public record Shown(long version, int weight) {}

    /** Edits the row through one entry, based on the version that the entry shows. */
    public void edit(int entry) {
        Member at = entries.get(entry % entries.size());
        Shown row = readRow(at);
        if (row != null) {
            edit(at, row.version());
        }
    }

    /** Edits the row through two entries at once, both based on one version; at most one edit may be accepted. */
    public void editConcurrently() {
        Member one = entries.get(0);
        Member other = entries.get(entries.size() - 1);
        Shown row = readRow(one);
        if (row == null) {
            return;
        }
        CompletableFuture<String> first = CompletableFuture.supplyAsync(() -> edit(one, row.version()));
        CompletableFuture<String> second = CompletableFuture.supplyAsync(() -> edit(other, row.version()));
        if (first.join().equals("accepted") && second.join().equals("accepted")) {
            violations.add("table", "two edits against version " + row.version() + " were both accepted");
        }
    }

    /** The accepted edits, in the order of their answers. */
    public synchronized List<Accepted> accepted() {
        return List.copyOf(accepted);
    }

    /** The row as an entry shows it; null if it does not answer. */
    public Shown readRow(Member entry) {
        String url = entry.url() + "/operator/v1/table/" + ORGANISATION + "/" + FleetPlan.MODEL;
        try {
            JsonHttp.Answer answer = http.send("GET", url, HEADERS, "");
            if (answer.status() != 200) {
                return null;
            }
            JsonNode row = http.read(answer.body());
            return new Shown(
                    row.path("version").asLong(),
                    row.path("values").path("weight").asInt());
        } catch (FleetException e) {
            return null;
        }
    }

    @Override
    public void close() {
        http.close();
    }

    private String edit(Member entry, long against) {
        int weight = 100 + editCount.incrementAndGet();
        Map<String, Object> edit = new HashMap<>();
        edit.put("organisation", ORGANISATION);
        edit.put("service", FleetPlan.MODEL);
        edit.put("against", against);
        edit.put("values", Fleet.rowValues(0, weight));
        Map<String, Object> request = Map.of("id", "soak-" + weight, "by", "soak", "edits", List.of(edit));
        try {
            String body = mapper.writeValueAsString(request);
            JsonHttp.Answer answer = http.send("POST", entry.url() + "/operator/v1/edits", HEADERS, body);
            JsonNode result = http.read(answer.body()).path("results").path(0);
            String kind = result.path("kind").asText("refused");
            if (kind.equals("accepted")) {
                add(new Accepted(result.path("row").path("version").asLong(), weight));
            }
            return kind;
        } catch (FleetException e) {
            return "no-answer";
        } catch (IOException e) {
            throw new FleetException("Could not write an edit", e);
        }
    }

    private synchronized void add(Accepted one) {
        accepted.add(one);
    }
}
