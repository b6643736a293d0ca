package org.cornelramp.daemon.log;

import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats each log record as one line of text: time, level and message, followed by the stack trace if there is one.
 * Stateless, safe for use by any thread.
 */
final class TextLineFormatter extends Formatter {

    @Override
    public String format(LogRecord record) {
        String line = Instant.ofEpochMilli(record.getMillis()) + " " + record.getLevel() + " "
                + replaceLineBreaks(formatMessage(record));
        return line + System.lineSeparator() + StackTraces.format(record.getThrown());
    }

    /** Replaces line breaks, so that text from a caller cannot forge a log line. */
    private static String replaceLineBreaks(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }
}
