package org.cornelramp.gateway.request;

import java.util.Optional;
import org.cornelramp.core.settings.HostPort;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;

/**
 * How one attempt at a backend server ended. Immutable, safe for use by any thread.
 *
 * @param kind what happened
 * @param status HTTP status of the backend server's response; 0 without one
 * @param fields headers of the response; empty without one
 * @param body complete body of the response; empty if it was already forwarded or is incomplete
 * @param faultAt engine that the response names as the cause of a failure
 * @param detail description of what happened, for logs
 */
public record AttemptEnd(
        Kind kind, int status, HttpFields fields, byte[] body, Optional<HostPort> faultAt, String detail) {

    /** Kinds of ends. Immutable, safe for use by any thread. */
    public enum Kind {
        /** The whole stream was forwarded to the client. */
        RELAYED(false, true),
        /** A complete, signed response is ready to be forwarded. */
        ANSWERED(false, true),
        /** As RELAYED, but only the close of the connection marks the end, as a crash between two events would. */
        RELAYED_UNFRAMED(false, true),
        /** As ANSWERED, but only the close of the connection marks the end, as a crash would. */
        ANSWERED_UNFRAMED(false, true),
        /** The backend server states that it did not run the request. */
        NOT_RUN(true, true),
        /** No byte of the request was sent. */
        NOT_SENT(true, false),
        /** The connect timed out, and no byte of the request was sent. */
        NO_CONNECTION(true, false),
        /** The response is missing, incomplete or invalid. */
        BROKEN(false, true),
        /** The client has disconnected. */
        CLIENT_GONE(false, true);

        private final boolean surelyNotRun;
        private final boolean mayHaveArrived;

        Kind(boolean surelyNotRun, boolean mayHaveArrived) {
            this.surelyNotRun = surelyNotRun;
            this.mayHaveArrived = mayHaveArrived;
        }

        /** Whether the response is complete only if its server has not crashed at its end. */
        public boolean isUnframed() {
            return this == RELAYED_UNFRAMED || this == ANSWERED_UNFRAMED;
        }

        private Kind confirmed() {
            return switch (this) {
                case RELAYED_UNFRAMED -> RELAYED;
                case ANSWERED_UNFRAMED -> ANSWERED;
                default -> this;
            };
        }

        /** Whether the request certainly did not run in this attempt. */
        public boolean surelyNotRun() {
            return surelyNotRun;
        }

        /** Whether the request may have reached the backend server, so that another attempt counts as a retry. */
        public boolean mayHaveArrived() {
            return mayHaveArrived;
        }
    }

    /** Whether a server has run the request to its end with success, as far as its response tells. */
    public boolean isSuccess() {
        return (kind == Kind.RELAYED || kind == Kind.ANSWERED) && HttpStatus.isSuccess(status);
    }

    /** The end of an unframed response whose server is known to have ended it itself. */
    public AttemptEnd confirmed() {
        return new AttemptEnd(kind.confirmed(), status, fields, body, faultAt, detail);
    }

    /**
     * The end of an unframed response that is not known to be complete.
     *
     * @param endedAt engine of the path, other than the first, that is known to have ended
     */
    public AttemptEnd refuted(String why, Optional<HostPort> endedAt) {
        return new AttemptEnd(Kind.BROKEN, 0, HttpFields.EMPTY, new byte[0], endedAt, why);
    }

    /** An end without a response. */
    static AttemptEnd without(Kind kind, String detail) {
        return new AttemptEnd(kind, 0, HttpFields.EMPTY, new byte[0], Optional.empty(), detail);
    }
}
