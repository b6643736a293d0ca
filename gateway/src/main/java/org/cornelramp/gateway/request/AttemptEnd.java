package org.cornelramp.gateway.request;

import java.util.Optional;
import org.cornelramp.core.settings.HostPort;
import org.eclipse.jetty.http.HttpFields;

/**
 * How one attempt at a backend server ended. Immutable, safe for use by any thread.
 *
 * @param kind what happened
 * @param status status of the backend server's answer; 0 without one
 * @param fields head of the answer; empty without one
 * @param body whole body of the answer; empty where it was passed on already or is not whole
 * @param faultAt engine that the answer blames
 * @param detail what happened, for logs
 */
public record AttemptEnd(
        Kind kind, int status, HttpFields fields, byte[] body, Optional<HostPort> faultAt, String detail) {

    /** Kinds of ends. Immutable, safe for use by any thread. */
    public enum Kind {
        /** The whole stream was passed on. */
        RELAYED(false, true),
        /** A whole, signed answer is there to be passed on. */
        ANSWERED(false, true),
        /** The backend server says that it did not run the request. */
        NOT_RUN(true, true),
        /** No byte of the request was sent. */
        NOT_SENT(true, false),
        /** The backend server has taken no connection in time, and no byte of the request was sent. */
        NO_CONNECTION(true, false),
        /** The answer did not come whole, or was none. */
        BROKEN(false, true),
        /** The client has gone. */
        CLIENT_GONE(false, true);

        private final boolean surelyNotRun;
        private final boolean mayHaveArrived;

        Kind(boolean surelyNotRun, boolean mayHaveArrived) {
            this.surelyNotRun = surelyNotRun;
            this.mayHaveArrived = mayHaveArrived;
        }

        /** Whether the request certainly did not run in this attempt. */
        public boolean surelyNotRun() {
            return surelyNotRun;
        }

        /** Whether the request may have reached the backend server, so that another attempt counts as a repeat. */
        public boolean mayHaveArrived() {
            return mayHaveArrived;
        }
    }

    /** An end without an answer. */
    static AttemptEnd without(Kind kind, String detail) {
        return new AttemptEnd(kind, 0, HttpFields.EMPTY, new byte[0], Optional.empty(), detail);
    }
}
