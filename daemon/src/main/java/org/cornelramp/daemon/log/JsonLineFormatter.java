package org.cornelramp.daemon.log;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Formats each log record as one JSON object on one line, with the fields time, level, part and message. The key=value
 * facts after the last semicolon of the message become fields of the object {@code facts}. Stateless, safe for use by
 * any thread.
 */
final class JsonLineFormatter extends Formatter {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern FACT =
            Pattern.compile("(?:^|\\s)([A-Za-z][A-Za-z0-9]*)=(.*?)(?=\\s[A-Za-z][A-Za-z0-9]*=|$)");

    @Override
    public String format(LogRecord record) {
        String message = formatMessage(record);
        ObjectNode node = JSON.createObjectNode();
        node.put("time", Instant.ofEpochMilli(record.getMillis()).toString());
        node.put("level", record.getLevel().getName());
        int colon = message.indexOf(": ");
        node.put("part", colon > 0 ? message.substring(0, colon) : "other");
        String rest = colon > 0 ? message.substring(colon + 2) : message;
        int semicolon = rest.lastIndexOf("; ");
        String facts = semicolon >= 0 ? rest.substring(semicolon + 2) : "";
        Matcher fact = FACT.matcher(facts);
        boolean isFacts = fact.lookingAt();
        node.put("message", isFacts ? rest.substring(0, semicolon) : rest);
        if (isFacts) {
            ObjectNode fields = node.putObject("facts");
            fact.reset();
            while (fact.find()) {
                fields.put(fact.group(1), fact.group(2));
            }
        }
        if (record.getThrown() != null) {
            node.put("trace", StackTraces.format(record.getThrown()));
        }
        return node + System.lineSeparator();
    }
}
