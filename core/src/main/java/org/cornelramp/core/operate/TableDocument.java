package org.cornelramp.core.operate;

import java.util.List;

/**
 * The table in force at an entry. Immutable, safe for use by any thread.
 *
 * @param offset offset of the table
 * @param rows its rows, in the order of their keys
 */
public record TableDocument(long offset, List<RowDocument> rows) {}
