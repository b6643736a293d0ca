package org.cornelramp.gateway.request;

import java.util.Optional;
import org.eclipse.jetty.client.Result;

/**
 * Orders the reads, the writes, the abort and the end of one attempt. Safe for use by any thread.
 *
 * <p>Invariant: a result is due once, and never while a write is under way; an abort is never due while a read is under
 * way.
 */
final class AttemptSequence {
    private boolean writing;
    private int reads;
    private boolean ended;
    private Result deferredResult;
    private String deferredAbort;

    /**
     * Begins a write unless the attempt has ended. The router may cancel an attempt after some events were read and
     * before they are written, and send the request again from the last event that was forwarded. If the events were
     * still written, the client would get them twice, or the write would overlap with the next attempt's write on the
     * same connection; both writes would then fail, which looks like a client that has disconnected. Events that are
     * dropped here are sent again by the next attempt.
     */
    synchronized boolean beginWrite() {
        writing = !ended;
        return writing;
    }

    /** Ends a write; returns the result if it is due now. */
    synchronized Optional<Result> endWrite() {
        writing = false;
        return takeDeferredResult();
    }

    synchronized void beginRead() {
        reads++;
    }

    /** Ends a read; returns the result if it is due now. */
    synchronized Optional<Result> endRead() {
        reads--;
        return takeDeferredResult();
    }

    /**
     * Whether the attempt may be aborted now; otherwise the reason is kept for {@link #takeDeferredAbort}. The HTTP
     * library releases the connection's buffer on an abort, also while another thread reads into it.
     */
    synchronized boolean mayAbort(String reason) {
        if (reads > 0 && deferredAbort == null) {
            deferredAbort = reason;
        }
        return reads == 0;
    }

    /** The reason of an abort that is due now, since the last read has ended. */
    synchronized Optional<String> takeDeferredAbort() {
        Optional<String> reason = reads == 0 ? Optional.ofNullable(deferredAbort) : Optional.empty();
        deferredAbort = reads == 0 ? null : deferredAbort;
        return reason;
    }

    /** Records the result; true if it is due now, otherwise the end of a write or a read returns it. */
    synchronized boolean complete(Result result) {
        if (isTooEarly(result)) {
            deferredResult = result;
            return false;
        }
        ended = true;
        return true;
    }

    private synchronized Optional<Result> takeDeferredResult() {
        Result result = deferredResult;
        if (result == null || isTooEarly(result)) {
            return Optional.empty();
        }
        deferredResult = null;
        ended = true;
        return Optional.of(result);
    }

    /**
     * Whether a result is to be handled later. Two writes at once on one connection would fail, so the next attempt waits
     * for the end of a write. The HTTP library may report success within a read, before that read returns the last chunk
     * that shows whether the response is whole.
     */
    private synchronized boolean isTooEarly(Result result) {
        return writing || (reads > 0 && !result.isFailed());
    }
}
