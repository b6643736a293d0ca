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
    };

    /**
     * Whether a request may be sent again after an attempt that may have run.
     *
     * @param resumable whether the route allows a stream to resume after a given event
     */
    public abstract boolean mayRetry(boolean resumable);
}
