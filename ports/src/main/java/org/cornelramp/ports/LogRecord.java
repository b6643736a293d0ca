package org.cornelramp.ports;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One record of a stream. Immutable if its value is not changed; safe for use by any thread.
 *
 * @param offset place in the stream, from 0 without gaps
 * @param at when the log service took it, in milliseconds since 1970
 * @param value what was appended
 */
public record LogRecord(long offset, long at, JsonNode value) {}
