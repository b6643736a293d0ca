package org.cornelramp.ports;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One record of a stream. Immutable if its value is not changed; safe for use by any thread.
 *
 * @param offset offset in the stream, from 0 without gaps
 * @param at time at which the log service appended it, in milliseconds since 1970
 * @param value the appended value
 */
public record LogRecord(long offset, long at, JsonNode value) {}
