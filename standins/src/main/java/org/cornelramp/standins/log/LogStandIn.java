package org.cornelramp.standins.log;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.standins.http.Call;
import org.cornelramp.standins.http.Faults;
import org.cornelramp.standins.http.Reply;
import org.cornelramp.standins.http.StandIn;
import org.cornelramp.standins.http.Timer;

/**
 * The log service in memory: streams with offsets, limited retention and a limited rate of appends.
 *
 * <p>Safe for use by any thread. Switches beside the common ones: {@code drop-older-than} (offset: drop all
 * records below it, in all streams).
 */
public final class LogStandIn implements StandIn {
    private static final String PREFIX = "/v1/streams/";
    private static final String RECORDS = "/records";
    private static final int MAX_PAGE = 1_000;
    private static final int GONE = 410;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY = 429;
    private static final long TRIM_MILLIS = 100;

    private final Faults faults;
    private final Clock clock;
    private final Timer timer;
    private final long retentionMillis;
    private final AppendRate rate;
    private final Map<String, Stream> streams = new TreeMap<>();

    /**
     * @param retentionMillis how long records are kept; 0 keeps all
     * @param appendsPerSecond appends taken in one second, in bursts of up to a tenth of that
     */
    public LogStandIn(Faults faults, Clock clock, Timer timer, long retentionMillis, double appendsPerSecond) {
        this.faults = faults;
        this.clock = clock;
        this.timer = timer;
        this.retentionMillis = retentionMillis;
        this.rate = new AppendRate(appendsPerSecond);
        timer.every(TRIM_MILLIS, this::trim);
    }

    @Override
    public String kind() {
        return "log";
    }

    @Override
    public CompletableFuture<Reply> handle(Call call) {
        if (!call.path().startsWith(PREFIX)) {
            return CompletableFuture.completedFuture(Reply.error(NOT_FOUND, "No such path"));
        }
        String rest = call.path().substring(PREFIX.length());
        boolean records = rest.endsWith(RECORDS);
        Stream stream = stream(records ? rest.substring(0, rest.length() - RECORDS.length()) : rest);
        if (records && call.method().equals("POST")) {
            return CompletableFuture.completedFuture(append(stream, call));
        }
        if (records) {
            return read(stream, call);
        }
        return CompletableFuture.completedFuture(Reply.ok(stream.bounds()));
    }

    @Override
    public void faultsChanged() {
        long below = (long) faults.number("drop-older-than", 0);
        all().forEach(stream -> stream.dropBelow(below));
    }

    private Reply append(Stream stream, Call call) {
        JsonNode records = call.json().path("records");
        if (!records.isArray() || records.isEmpty()) {
            throw new IllegalArgumentException("An append needs at least one record");
        }
        long now = clock.millis();
        if (!rate.take(now)) {
            return Reply.error(TOO_MANY, "Over the append rate").withRetryAfter(1);
        }
        return Reply.ok(Map.of("firstOffset", stream.append(records, now)));
    }

    private CompletableFuture<Reply> read(Stream stream, Call call) {
        long from = call.number("from", 0);
        int max = (int) Math.min(call.number("max", MAX_PAGE), MAX_PAGE);
        long wait = call.number("waitMillis", 0);
        CompletableFuture<Void> ready = stream.whenAt(from);
        if (!ready.isDone() && wait > 0) {
            timer.after(wait, () -> ready.complete(null));
        } else {
            ready.complete(null);
        }
        return ready.thenApply(done -> {
            Stream.Page page = stream.read(from, max);
            return from < page.oldest() ? Reply.of(GONE, stream.bounds()) : Reply.ok(page);
        });
    }

    private Stream stream(String name) {
        synchronized (streams) {
            return streams.computeIfAbsent(name, key -> new Stream());
        }
    }

    private List<Stream> all() {
        synchronized (streams) {
            return List.copyOf(streams.values());
        }
    }

    private void trim() {
        if (retentionMillis > 0) {
            long limit = clock.millis() - retentionMillis;
            all().forEach(stream -> stream.dropBefore(limit));
        }
    }
}
