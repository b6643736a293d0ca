package org.cornelramp.gateway.request;

/**
 * Responses that the gateway itself generates. A request that ends with one of them has not run and will not run, except
 * for {@link #UNKNOWN}, {@link #STOPPED} and {@link #TIMED_OUT}, after which it may have run. Immutable, safe for use by
 * any thread.
 */
public enum Refusal {
    NO_CONFIGURATION(503, "This process has no configuration yet; send the request again soon.", 400),
    LEAVING(503, "This process is stopping; send the request again on a new connection.", 100),
    ALL_LEAVING(503, "All processes are stopping or starting; send the request again later.", 1_500),
    NO_ROUTE(404, "No route takes this host and path; check both.", 0),
    NO_KEY(401, "The key is missing or unknown; send a valid one.", 0),
    TOO_LARGE(413, "The body is larger than the configuration allows; send less.", 0),
    NO_SERVER(503, "No backend server can take this request now; send it again.", 1_000),
    OVERLOADED(503, "All backend servers are full; send the request again.", 1_500),
    CONFIGURATION_CHANGED(503, "The configuration of this request's route or key has changed; send it again.", 100),
    POISON(503, "Backend servers crashed while they ran this request; do not send it again unchanged.", 60_000),
    POISON_PART(
            503,
            "Backend servers crashed while they ran requests with a part of this prompt; do not send it again unchanged.",
            60_000),
    NOT_RUN_IN_TIME(503, "No backend server ran this request in time; send it again.", 500),
    TIMED_OUT(504, "No answer came in time, and the request may have run.", 0),
    STOPPED(502, "This process has stopped before an answer came, and the request may have run.", 0),
    UNKNOWN(502, "The backend server was lost, and the request may have run.", 0);

    private final int status;
    private final String text;
    private final long retryMillis;

    Refusal(int status, String text, long retryMillis) {
        this.status = status;
        this.text = text;
        this.retryMillis = retryMillis;
    }

    /**
     * How a stopping process refuses a request.
     *
     * @param hasStayingPeer whether there is a process that is not stopping
     */
    public static Refusal whileStopping(boolean hasStayingPeer) {
        return hasStayingPeer ? LEAVING : ALL_LEAVING;
    }

    /** HTTP status. */
    public int status() {
        return status;
    }

    /** Body of the response: what happened and what the client can do. */
    public String text() {
        return text;
    }

    /** Minimum time after which the client may retry, in milliseconds; 0 if a retry does not help. */
    public long retryMillis() {
        return retryMillis;
    }
}
