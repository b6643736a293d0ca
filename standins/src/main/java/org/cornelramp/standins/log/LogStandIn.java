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
 * In-memory log service: streams with offsets, limited retention and a limited rate of appends.
 *
 * <p>Safe for use by any thread. Fault switches in addition to the common ones: {@code drop-older-than} (an
 * offset: drop all records below it in all streams).
 */
public final class LogStandIn implements StandIn {
    private static final String STREAMS_PATH = "/v1/streams/";
    private static final String RECORDS_SUFFIX = "/records";
    private static final int MAX_RECORDS_PER_READ = 1_000;
    private static final int GONE = 410;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final long TRIM_INTERVAL_MILLIS = 100;

    private final Faults faults;
    private final Clock clock;
    private final Timer timer;
    private final long retentionMillis;
    private final AppendRateLimiter rateLimiter;
    private final Map<String, LogStream> streams = new TreeMap<>();

    /**
     * @param retentionMillis time for which records are kept, in milliseconds; 0 keeps all
     * @param appendsPerSecond maximum rate of appends; bursts are limited to a tenth of it
     */
    public LogStandIn(Faults faults, Clock clock, Timer timer, long retentionMillis, double appendsPerSecond) {
        this.faults = faults;
        this.clock = clock;
        this.timer = timer;
        this.retentionMillis = retentionMillis;
        this.rateLimiter = new AppendRateLimiter(appendsPerSecond);
        timer.runEvery(TRIM_INTERVAL_MILLIS, this::trim);
    }

    @Override
    public String kind() {
        return "log";
    }

    @Override
    public CompletableFuture<Reply> handle(Call call) {
        if (!call.path().startsWith(STREAMS_PATH)) {
            return CompletableFuture.completedFuture(Reply.error(NOT_FOUND, "No such path"));
        }
        String streamPath = call.path().substring(STREAMS_PATH.length());
        boolean isRecordsPath = streamPath.endsWith(RECORDS_SUFFIX);
        LogStream stream = stream(
                isRecordsPath ? streamPath.substring(0, streamPath.length() - RECORDS_SUFFIX.length()) : streamPath);
        if (isRecordsPath && call.method().equals("POST")) {
            return CompletableFuture.completedFuture(append(stream, call));
        }
        if (isRecordsPath) {
            return read(stream, call);
        }
        return CompletableFuture.completedFuture(Reply.ok(stream.bounds()));
    }

    @Override
    public void faultsChanged() {
        long firstKeptOffset = (long) faults.number("drop-older-than", 0);
        allStreams().forEach(stream -> stream.dropBelowOffset(firstKeptOffset));
    }

    private Reply append(LogStream stream, Call call) {
        JsonNode records = call.json().path("records");
        if (!records.isArray() || records.isEmpty()) {
            throw new IllegalArgumentException("An append needs at least one record");
        }
        long now = clock.millis();
        if (!rateLimiter.tryAcquire(now)) {
            return Reply.error(TOO_MANY_REQUESTS, "Append rate exceeded; retry after the time in Retry-After")
                    .withRetryAfter(1);
        }
        return Reply.ok(Map.of("firstOffset", stream.append(records, now)));
    }

    private CompletableFuture<Reply> read(LogStream stream, Call call) {
        long from = call.longParameter("from", 0);
        int max = (int) Math.min(call.longParameter("max", MAX_RECORDS_PER_READ), MAX_RECORDS_PER_READ);
        long waitMillis = call.longParameter("waitMillis", 0);
        CompletableFuture<Void> available = stream.whenAvailable(from);
        if (!available.isDone() && waitMillis > 0) {
            timer.runAfter(waitMillis, () -> available.complete(null));
        } else {
            available.complete(null);
        }
        return available.thenApply(done -> {
            LogStream.Page page = stream.read(from, max);
            return from < page.oldest() ? Reply.of(GONE, stream.bounds()) : Reply.ok(page);
        });
    }

    private LogStream stream(String name) {
        synchronized (streams) {
            return streams.computeIfAbsent(name, key -> new LogStream());
        }
    }

    private List<LogStream> allStreams() {
        synchronized (streams) {
            return List.copyOf(streams.values());
        }
    }

    private void trim() {
        if (retentionMillis > 0) {
            long oldestKeptMillis = clock.millis() - retentionMillis;
            allStreams().forEach(stream -> stream.dropOlderThan(oldestKeptMillis));
        }
    }
}
