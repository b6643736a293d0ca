package org.cornelramp.core.routing;

/** What a route's requests are, and with that what may be repeated. Immutable, safe for use by any thread. */
public enum RouteKind {
    /** May run more than once. */
    SAFE {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return true;
        }
    },
    /** May take effect at most once. */
    UNSAFE {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return false;
        }
    },
    /** Answers with a series of events; may be repeated only where a broken stream may be resumed. */
    STREAMING {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Whether a request may be sent again after an attempt that may have run.
     *
     * @param resumable whether the route lets a stream go on at a given event
     */
    public abstract boolean mayRepeat(boolean resumable);
}
