package org.cornelramp.ports;

import java.util.List;

/**
 * Records read from a stream. Immutable, safe for use by any thread.
 *
 * @param oldest offset of the oldest retained record
 * @param next offset after the newest record of the stream
 * @param records the records, in order
 */
public record LogPage(long oldest, long next, List<LogRecord> records) {}
