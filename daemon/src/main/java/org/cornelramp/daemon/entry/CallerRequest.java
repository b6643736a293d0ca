package org.cornelramp.daemon.entry;

import java.time.Instant;
import org.cornelramp.core.table.Row;

/**
 * The data that all requests have in common once their caller is known. Immutable, except for the answer that it refers
 * to.
 *
 * @param id id of the request
 * @param row row of the caller's organisation and the requested service
 * @param arrived when the request arrived
 * @param deadline when its final answer is due
 * @param answer receives the answer
 */
record CallerRequest(String id, Row row, Instant arrived, Instant deadline, CallerAnswer answer) {}
