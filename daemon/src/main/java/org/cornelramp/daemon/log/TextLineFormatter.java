package org.cornelramp.daemon.log;

import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** One line of text for each record: time, level, message. Stateless, safe for use by any thread. */
final class TextLineFormatter extends Formatter {

    @Override
    public String format(LogRecord record) {
        String line = Instant.ofEpochMilli(record.getMillis()) + " " + record.getLevel() + " "
                + oneLine(formatMessage(record));
        return line + System.lineSeparator() + Traces.of(record.getThrown());
    }

    /** A caller's text with line ends in it must not look like a line of ours. */
    private static String oneLine(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }
}
