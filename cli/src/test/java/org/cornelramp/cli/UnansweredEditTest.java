package org.cornelramp.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.testng.annotations.Test;

/**
 * An entry takes an edit and ends before it answers. The edit may be on the log, so it must not be sent again under
 * another id: the command looks for it in the history, and tells accepted or rejected by what it finds there.
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

    private static void ends(boolean accepted, ExitCode code, String word) throws IOException {
        try (FakeEntry entry =
                new FakeEntry().answer("GET table/o/s", ROW).answer("GET history/o/s", history(accepted))) {
            Ran ran = Ran.of(entry.url(), "table", "set", "o", "s", "weight=7");
            assertEquals(ran.code(), code, ran.progress());
            assertTrue(ran.out().startsWith(word + " o/s"), ran.out());
            assertEquals(entry.count("POST edits"), 1);
        }
    }

    @Test
    public void oneThatIsInTheHistoryAsAcceptedIsAccepted() throws IOException {
        ends(true, ExitCode.DONE, "accepted");
    }

    @Test
    public void oneThatIsInTheHistoryAsRejectedIsRejected() throws IOException {
        ends(false, ExitCode.REJECTED, "rejected");
    }

    @Test
    public void oneThatIsNowhereIsUnknown() throws IOException {
        try (FakeEntry entry = new FakeEntry().answer("GET table/o/s", ROW)) {
            Ran ran = Ran.of(entry.url(), "table", "set", "o", "s", "weight=7");
            assertEquals(ran.code(), ExitCode.UNKNOWN, ran.progress());
            assertTrue(ran.out().contains("table history shows later whether edit"), ran.out());
            assertEquals(entry.count("POST edits"), 1);
        }
    }
}
