package org.cornelramp.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.testng.annotations.Test;

/**
 * The first entry that the operator names is down: nothing listens there. The command goes on to the next; only
 * with all down does it end, saying so, and nothing was changed.
 */
public class EntryDownTest {
    private static final String TABLE =
            "{\"offset\":3,\"rows\":[{\"organisation\":\"o\",\"service\":\"s\",\"version\":2,"
                    + "\"values\":{\"weight\":7,\"priority\":0,\"requestsPerSecond\":0,\"concurrency\":0,"
                    + "\"tokensPerSecond\":0,\"deadlineMillis\":1000,\"objectivePercent\":99.5,\"callerKeyHashes\":[]}}]}";

    private static String closedUrl() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "http://127.0.0.1:" + socket.getLocalPort();
        }
    }

    @Test
    public void theNextEntryIsAsked() throws IOException {
        try (FakeEntry entry = new FakeEntry().answer("GET table", TABLE)) {
            Ran ran = Ran.of(closedUrl() + "," + entry.url(), "table", "export");
            assertEquals(ran.code(), ExitCode.DONE);
            assertTrue(ran.out().endsWith("\no,s,2,7,0,0,0,0,1000,99.5,\n"), ran.out());
        }
    }

    @Test
    public void withAllDownNothingWasChanged() throws IOException {
        Ran ran = Ran.of(closedUrl() + "," + closedUrl(), "drain", "a1");
        assertEquals(ran.code(), ExitCode.UNREACHABLE);
        assertTrue(ran.progress().contains("no entry answered"), ran.progress());
    }
}
