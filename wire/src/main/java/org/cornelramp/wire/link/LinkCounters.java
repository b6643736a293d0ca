package org.cornelramp.wire.link;

import java.util.concurrent.atomic.LongAdder;

/** Counts of what happened on all links of a process, since its start. Safe for use by any thread. */
public final class LinkCounters {
    final LongAdder opened = new LongAdder();
    final LongAdder silent = new LongAdder();
    final LongAdder garbage = new LongAdder();
    final LongAdder skipped = new LongAdder();
    final LongAdder refusedSends = new LongAdder();
    final LongAdder framesIn = new LongAdder();
    final LongAdder framesOut = new LongAdder();
    final LongAdder bytesIn = new LongAdder();
    final LongAdder bytesOut = new LongAdder();

    /** Links whose peer said who it is. */
    public long opened() {
        return opened.sum();
    }

    /** Links closed because the peer was silent or took nothing. */
    public long silent() {
        return silent.sum();
    }

    /** Links closed because what came was no frame of this version. */
    public long garbage() {
        return garbage.sum();
    }

    /** Messages skipped because this version does not know them. */
    public long skipped() {
        return skipped.sum();
    }

    /** Messages refused because a link was full or closed, or the message too large. */
    public long refusedSends() {
        return refusedSends.sum();
    }

    /** Frames read. */
    public long framesIn() {
        return framesIn.sum();
    }

    /** Frames written. */
    public long framesOut() {
        return framesOut.sum();
    }

    /** Bytes read. */
    public long bytesIn() {
        return bytesIn.sum();
    }

    /** Bytes written. */
    public long bytesOut() {
        return bytesOut.sum();
    }
}
