package org.cornelramp.daemon.entry;

import java.time.Instant;
import java.util.function.Consumer;
import org.cornelramp.core.key.KeyIndex;
import org.cornelramp.core.key.KeyRecordCodec;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogRecord;
import org.cornelramp.ports.LogStream;

/** Applies the key stream of the log to the key index. Confined to the router's thread. */
final class KeyStream implements SettlementLookup, LogFollower.RecordHandler {
    private final KeyIndex index;
    private final Router router;
    private final LogFollower follower;

    KeyStream(LogClient log, KeyIndex index, Router router) {
        this.index = index;
        this.router = router;
        this.follower = new LogFollower(log, LogStream.KEYS, this, router);
    }

    KeyIndex index() {
        return index;
    }

    /** Adds a listener that runs after records were applied. Called before the start. */
    void addProgressListener(Consumer<Instant> action) {
        follower.addProgressListener(action);
    }

    void tick(Instant now) {
        index.expire(now);
        follower.tick(now);
    }

    /** Reads to the current end of the stream and passes on whether it was reached. */
    void readToEnd(Consumer<Boolean> callback) {
        follower.readToEnd(callback);
    }

    @Override
    public boolean isSettled(Incarnation agent) {
        return index.isSettled(agent);
    }

    @Override
    public void lookUp(Incarnation agent, String key, long callId) {
        if (index.isSettled(agent)) {
            router.runAfterCurrent(now -> router.lookupCompleted(callId, index.settledReply(agent, key), now));
        } else {
            readToEnd(endReached ->
                    router.runAfterCurrent(now -> router.lookupCompleted(callId, index.settledReply(agent, key), now)));
        }
    }

    @Override
    public long nextOffset() {
        return index.nextOffset();
    }

    @Override
    public void skipTo(long offset) {
        index.skipTo(offset);
    }

    @Override
    public void apply(LogRecord record, Instant now) {
        index.apply(record.offset(), Instant.ofEpochMilli(record.at()), KeyRecordCodec.read(record.value()));
    }
}
