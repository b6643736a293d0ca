package org.cornelramp.core.operate;

import java.util.List;

/**
 * The answer to edits. Immutable, safe for use by any thread.
 *
 * @param offset offset of the table that contains the results
 * @param results one for each edit, in the same order
 */
public record EditAnswer(long offset, List<EditResult> results) {}
