package org.cornelramp.gateway.request;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import org.cornelramp.gateway.ResponseLimitException;

/** What the failure of an attempt without a response shows. Stateless, safe for use by any thread. */
final class AttemptFailures {
    /** Length to which the text of a failure is cut in logs; keeps its type and the start of its message. */
    private static final int MAX_DETAIL_CHARS = 120;

    private AttemptFailures() {}

    /** Marks an attempt that the gateway itself cancelled. Immutable. */
    static final class CancelledException extends Exception {
        private static final long serialVersionUID = 1L;

        CancelledException(String reason) {
            super(reason, null, false, false);
        }
    }

    /** What became of the connection; a response beyond its limit is closed by this side. */
    static Attempt.ConnectionFault connectionFault(Throwable failure, boolean requestBegun) {
        if (!(failure instanceof IOException)
                || failure instanceof SocketTimeoutException
                || failure instanceof ResponseLimitException) {
            return Attempt.ConnectionFault.NONE;
        }
        if (failure instanceof ConnectException) {
            return Attempt.ConnectionFault.REFUSED;
        }
        return requestBegun ? Attempt.ConnectionFault.BROKEN : Attempt.ConnectionFault.NONE;
    }

    /** The kind of an end without a response. */
    static AttemptEnd.Kind kind(Throwable failure, boolean requestBegun) {
        if (requestBegun && !(failure instanceof ConnectException)) {
            return AttemptEnd.Kind.BROKEN;
        }
        boolean timedOut = failure instanceof SocketTimeoutException;
        return timedOut ? AttemptEnd.Kind.NO_CONNECTION : AttemptEnd.Kind.NOT_SENT;
    }

    /**
     * Shortens a failure for logs; the HTTP library's messages dump the state of a whole connection, about a kilobyte.
     */
    static String summarise(Throwable failure) {
        String text = failure instanceof CancelledException ? failure.getMessage() : String.valueOf(failure);
        return text.length() > MAX_DETAIL_CHARS ? text.substring(0, MAX_DETAIL_CHARS) : text;
    }
}
