package org.cornelramp.daemon.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.testng.annotations.Test;

/** A log record is one line even if text from a caller contains line breaks; in JSON its part and facts are fields. */
public class LogLinesTest {

    private static LogRecord record(String message) {
        return new LogRecord(Level.INFO, message);
    }

    @Test
    public void textFormatterReplacesLineBreaks() {
        String line = new TextLineFormatter().format(record("entry: refused; path=/a\nkernel: forged"));
        assertEquals(line.lines().count(), 1);
        assertTrue(line.contains(" INFO entry: refused; path=/a kernel: forged"), line);
    }

    @Test
    public void jsonFormatterSeparatesPartMessageAndFacts() throws Exception {
        String line = new JsonLineFormatter().format(record("table: the log fails; offset=7 why=no answer, again"));
        JsonNode node = new ObjectMapper().readTree(line);
        assertEquals(node.path("part").asText(), "table");
        assertEquals(node.path("message").asText(), "the log fails");
        assertEquals(node.path("facts").path("offset").asText(), "7");
        assertEquals(node.path("facts").path("why").asText(), "no answer, again");
        assertEquals(line.lines().count(), 1);
    }

    @Test
    public void jsonFormatterKeepsWholeMessageWithoutFacts() throws Exception {
        JsonNode node =
                new ObjectMapper().readTree(new JsonLineFormatter().format(record("kernel: stopped; all done")));
        assertEquals(node.path("message").asText(), "stopped; all done");
        assertTrue(node.path("facts").isMissingNode());
    }
}
