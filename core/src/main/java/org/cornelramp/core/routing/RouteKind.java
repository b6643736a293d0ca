package org.cornelramp.core.routing;

/** Kind of a route's requests, which decides whether they may be retried. Immutable, safe for use by any thread. */
public enum RouteKind {
    /** Requests may run more than once. */
    SAFE {
        @Override
        public boolean mayRetry(boolean resumable) {
            return true;
        }
    },
    /** Requests may take effect at most once. */
    UNSAFE {
        @Override
        public boolean mayRetry(boolean resumable) {
            return false;
        }
    },
    /** Requests are answered with a stream of events; may be retried only where a broken stream may be resumed. */
    STREAMING {
        @Override
        public boolean mayRetry(boolean resumable) {
            return resumable;
        }

        @Override
        public boolean continuesElsewhere(boolean resumable) {
            return resumable;
        }

        @Override
        public boolean answersInParts() {
            return true;
        }
    };

    /**
     * Whether a request may be sent again after an attempt that may have run.
     *
     * @param resumable whether the route allows a stream to resume after a given event
     */
    public abstract boolean mayRetry(boolean resumable);

    /**
     * Whether a client whose response ends early can get the rest of it from another process.
     *
     * @param resumable whether the route allows a stream to resume after a given event
     */
    public boolean continuesElsewhere(boolean resumable) {
        return false;
    }

    /** Whether a response is sent in parts, so that a process which has to end it early can only cut it. */
    public boolean answersInParts() {
        return false;
    }
}
