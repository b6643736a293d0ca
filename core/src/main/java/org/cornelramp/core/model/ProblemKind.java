package org.cornelramp.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * Why a request was refused or abandoned. The set is closed; each kind carries its HTTP status and the remedy that is
 * reported to the caller.
 *
 * <p>The kind does not determine the {@link Outcome}: after the loss of a backend server it may be not-run or unknown.
 */
public enum ProblemKind {
    MALFORMED_REQUEST(400, "Correct the request as the detail says."),
    KEY_MISSING(400, "Mint a key with POST /v1/keys and send it as Idempotency-Key."),
    KEY_MALFORMED(400, "Send a key from POST /v1/keys, or a UUIDv7."),
    UNAUTHORISED(401, "Send a caller key that the table lists as Authorization: Bearer."),
    OPERATOR_UNAUTHORISED(401, "Send an operator's key that the entry's settings list as Authorization: Bearer."),
    OPERATORS_CLOSED(403, "Name operators' key hashes in the settings of this entry, or use another entry."),
    NOT_ENTITLED(403, "Ask an operator for a table row for this organisation and service."),
    UNKNOWN_SERVICE(404, "Name a model or service that the table lists."),
    NOT_FOUND(404, "Correct the method, path or name."),
    KEY_SPENT(409, "The request did not run and never will under this key: send it again with a new key."),
    KEY_EXPIRED(410, "Check with the service whether the request took effect, then use a new key."),
    REQUEST_TOO_LARGE(413, "Send a shorter request."),
    KEY_REUSED(422, "Use a new key for a different request."),
    SET_ASIDE(422, "Do not send this request again: it crashed the backend servers that ran it."),
    HEADERS_TOO_LARGE(431, "Send fewer or shorter headers."),
    LIMIT_REACHED(429, "Wait as Retry-After says, or ask an operator for a higher limit."),
    OVERLOADED(503, "Wait as Retry-After says."),
    DEADLINE_UNREACHABLE(503, "Wait as Retry-After says, or allow more time."),
    NO_BACKEND_SERVER(503, "Wait as Retry-After says; operators see the reason in status."),
    NOT_READY(503, "Wait as Retry-After says, or use another entry."),
    LEAVING(503, "Send the request again: this process is stopping."),
    LOG_UNAVAILABLE(503, "Use a minted key, which needs no log, or wait as Retry-After says."),
    EDIT_NOT_TAKEN(503, "Edit again once status shows that the log takes appends."),
    BACKEND_FAILED(502, "See the outcome: when it is not-run, send the request again."),
    BACKEND_LOST(502, "See the outcome: when it is unknown, check with the service before trying again."),
    DEADLINE_PASSED(504, "See the outcome: when it is unknown, ask again with the same key.");

    private final int status;
    private final String remedy;

    ProblemKind(int status, String remedy) {
        this.status = status;
        this.remedy = remedy;
    }

    /** The HTTP status that the answer carries. */
    public int status() {
        return status;
    }

    /** What the caller should do, in one sentence. */
    public String remedy() {
        return remedy;
    }

    /** The form that answers, metrics and logs carry, such as {@code no-backend-server}. */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Parses the form that {@link #text} gives.
     *
     * @throws IllegalArgumentException if the kind is unknown
     */
    @JsonCreator
    public static ProblemKind parse(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
