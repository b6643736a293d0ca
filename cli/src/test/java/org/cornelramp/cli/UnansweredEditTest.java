package org.cornelramp.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.testng.annotations.Test;

/**
 * Guards against an edit that is sent twice. An entry takes an edit and stops before it answers, so the edit may be on
 * the log: the command must not send it again under another id, but report the result that the history shows.
 */
public class UnansweredEditTest {
    private static final String VALUES = "{\"weight\":7,\"priority\":5,\"requestsPerSecond\":0,\"concurrency\":0,"
            + "\"tokensPerSecond\":0,\"deadlineMillis\":1000,\"objectivePercent\":99,\"callerKeyHashes\":[]}";
    private static final String ROW =
            "{\"organisation\":\"o\",\"service\":\"s\",\"version\":4,\"values\":" + VALUES + "}";

    private static String history(boolean accepted) {
        return "{\"row\":" + ROW + ",\"oldest\":0,\"edits\":[{\"offset\":5,\"at\":1,\"id\":\"$ID-0\",\"by\":\"me\","
                + "\"against\":4,\"accepted\":" + accepted + ",\"values\":" + VALUES + "}]}";
    }

    private static void assertResultFromHistory(boolean accepted, ExitCode exitCode, String outcome)
            throws IOException {
        try (FakeEntry entry =
                new FakeEntry().respondTo("GET table/o/s", ROW).respondTo("GET history/o/s", history(accepted))) {
            CliRun run = CliRun.execute(entry.url(), "table", "set", "o", "s", "weight=7");
            assertEquals(run.exitCode(), exitCode, run.progress());
            assertTrue(run.out().startsWith(outcome + " o/s"), run.out());
            assertEquals(entry.callCount("POST edits"), 1);
        }
    }

    @Test
    public void editAcceptedInHistoryIsReportedAccepted() throws IOException {
        assertResultFromHistory(true, ExitCode.DONE, "accepted");
    }

    @Test
    public void editRejectedInHistoryIsReportedRejected() throws IOException {
        assertResultFromHistory(false, ExitCode.REJECTED, "rejected");
    }

    @Test
    public void editMissingFromHistoryIsReportedUnknown() throws IOException {
        try (FakeEntry entry = new FakeEntry().respondTo("GET table/o/s", ROW)) {
            CliRun run = CliRun.execute(entry.url(), "table", "set", "o", "s", "weight=7");
            assertEquals(run.exitCode(), ExitCode.UNKNOWN, run.progress());
            assertTrue(run.out().contains("table history shows later whether edit"), run.out());
            assertEquals(entry.callCount("POST edits"), 1);
        }
    }
}
