package org.cornelramp.wire.link;

import java.util.concurrent.atomic.LongAdder;

/** Counters of all links of a process, since its start. Safe for use by any thread. */
public final class LinkCounters {
    final LongAdder opened = new LongAdder();
    final LongAdder unresponsive = new LongAdder();
    final LongAdder invalid = new LongAdder();
    final LongAdder skipped = new LongAdder();
    final LongAdder refusedSends = new LongAdder();
    final LongAdder framesIn = new LongAdder();
    final LongAdder framesOut = new LongAdder();
    final LongAdder bytesIn = new LongAdder();
    final LongAdder bytesOut = new LongAdder();

    /** Links whose peer has sent its hello. */
    public long opened() {
        return opened.sum();
    }

    /** Links closed because the peer sent nothing or read nothing. */
    public long unresponsive() {
        return unresponsive.sum();
    }

    /** Links closed because of invalid frames, or a first message that is not a hello. */
    public long invalid() {
        return invalid.sum();
    }

    /** Messages skipped because this version does not know their type. */
    public long skipped() {
        return skipped.sum();
    }

    /** Messages not sent because the link was closed, its buffer full, or the message too large. */
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
