package org.cornelramp.core.limit;

import org.cornelramp.core.table.RowKey;

/**
 * Leave for one request to pass the limits of its row; handed back once to {@link Limiter#finished}. Immutable,
 * safe for use by any thread.
 *
 * @param row the row whose limits were taken from
 * @param tokens tokens charged in advance
 * @param counted whether the row had limits when the request was let in
 */
public record Permit(RowKey row, int tokens, boolean counted) {}
