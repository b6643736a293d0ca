package org.cornelramp.daemon.entry;

import java.time.Instant;
import java.util.function.Consumer;
import org.cornelramp.core.key.KeyIndex;
import org.cornelramp.core.key.KeyRecordCodec;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogRecord;
import org.cornelramp.ports.LogStream;

/** Folds the key stream of the log into the index. Confined to the router's thread. */
final class KeyStream implements SettledLookup, LogFollower.Fold {
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

    /** Adds something to do after records were folded; called before the start. */
    void onProgress(Consumer<Instant> action) {
        follower.onProgress(action);
    }

    void tick(Instant now) {
        index.expire(now);
        follower.tick(now);
    }

    /** Reads to the present end of the stream and says whether it was reached. */
    void readToEnd(Consumer<Boolean> then) {
        follower.readToEnd(then);
    }

    @Override
    public boolean isSettled(Incarnation agent) {
        return index.isSettled(agent);
    }

    @Override
    public void lookUp(Incarnation agent, String key, long call) {
        if (index.isSettled(agent)) {
            router.later(now -> router.lookedUp(call, index.settledReply(agent, key), now));
        } else {
            readToEnd(read -> router.later(now -> router.lookedUp(call, index.settledReply(agent, key), now)));
        }
    }

    @Override
    public long next() {
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
