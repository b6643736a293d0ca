package org.cornelramp.core.operate;

import java.util.List;

/**
 * Edits that an operator requests; each is accepted or rejected on its own. Immutable, safe for use by any thread.
 *
 * @param id id of the request, a valid name; with it the author finds the edits in the history after a lost answer
 * @param by the operator, for the history
 * @param edits at most {@link #MAX_EDITS} edits, of different rows
 */
public record EditRequest(String id, String by, List<EditDocument> edits) {
    /** Most edits of one request. */
    public static final int MAX_EDITS = 500;
}
