package org.cornelramp.gateway.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/** The limit on the volume of the log, and that logging does not block. */
public class EventLogTest {

    @Test
    public void keepsEveryFailureAndSamplesRoutineLines() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        EventLog log = new EventLog(out, Clock.systemUTC(), "g");
        for (int i = 0; i < 1_000; i++) {
            log.line("part", "failure").with("number", i).write();
            log.routine("part", "success").write();
        }
        log.start();
        log.stop();
        String text = out.toString(StandardCharsets.UTF_8);
        assertEquals(text.lines().filter(line -> line.contains("failure")).count(), 1_000);
        long routine = text.lines().filter(line -> line.contains("success")).count();
        assertTrue(routine <= 2L * EventLog.ROUTINE_PER_SECOND, "kept " + routine);
        assertEquals(log.skipped(), 1_000 - routine);
    }

    /**
     * Guards against callers that block when nobody reads standard output: lines that do not fit are dropped and
     * counted.
     */
    @Test
    public void blockedOutputDoesNotBlockCallers() {
        CountDownLatch never = new CountDownLatch(1);
        OutputStream blocked = new OutputStream() {
            @Override
            public void write(int b) throws IOException {
                try {
                    never.await();
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        };
        EventLog log = new EventLog(blocked, Clock.systemUTC(), "g");
        log.start();
        for (int i = 0; i < 20_000; i++) {
            log.line("part", "failure").write();
        }
        assertTrue(log.dropped() > 0);
    }

    @Test
    public void escapesTextOfClients() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        EventLog log = new EventLog(out, Clock.systemUTC(), "g");
        log.line("part", "event").with("path", "a\"\n{b").write();
        log.start();
        log.stop();
        assertTrue(out.toString(StandardCharsets.UTF_8).contains("\"path\":\"a\\\"\\n{b\""));
    }
}
