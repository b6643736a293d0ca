package org.cornelramp.daemon.entry;

import java.time.Instant;
import org.cornelramp.core.table.Row;

/**
 * What all requests have in common once their caller is known. Immutable, but for the answer that it leads to.
 *
 * @param id id of the request
 * @param row row of the caller's organisation and the wanted service
 * @param arrived when the request came
 * @param deadline when its final answer must be out
 * @param answer where the answer goes
 */
record CallerRequest(String id, Row row, Instant arrived, Instant deadline, CallerAnswer answer) {}
