package org.cornelramp.core.table;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One record of the log's table stream. Immutable and safe for use by any thread as long as its value is not modified.
 *
 * @param offset position in the stream, from 0 without gaps
 * @param appendedAtMillis time at which the log appended it, in milliseconds since 1970
 * @param value the appended JSON value
 */
public record LoggedRecord(long offset, long appendedAtMillis, JsonNode value) {}
