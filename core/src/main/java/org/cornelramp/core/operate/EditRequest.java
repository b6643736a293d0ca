package org.cornelramp.core.operate;

import java.util.List;

/**
 * Edits that an operator asks for; each row is judged on its own. Immutable, safe for use by any thread.
 *
 * @param id names the request, so that its author finds the edits again in the history after a lost answer; a valid
 *     name
 * @param by who asks, for the history
 * @param edits at most {@link #MAX_EDITS} edits, of different rows
 */
public record EditRequest(String id, String by, List<EditDocument> edits) {
    /** Most edits of one request. */
    public static final int MAX_EDITS = 500;
}
