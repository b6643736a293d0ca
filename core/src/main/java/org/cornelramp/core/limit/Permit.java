package org.cornelramp.core.limit;

import org.cornelramp.core.table.RowKey;

/**
 * Permission for one request under the limits of its row, to be returned once with {@link Limiter#release}. Immutable,
 * safe for use by any thread.
 *
 * @param row the row whose limits were charged
 * @param tokens tokens charged in advance
 * @param counted whether the row had limits when the request was admitted
 */
public record Permit(RowKey row, int tokens, boolean counted) {}
