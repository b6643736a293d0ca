package org.cornelramp.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.testng.annotations.Test;

/**
 * Guards against a command that fails although another entry could answer. Nothing listens at the first entry that the
 * operator names: the command must call the next one, and report that no entry answered only if all are down.
 */
public class EntryDownTest {
    private static final String TABLE =
            "{\"offset\":3,\"rows\":[{\"organisation\":\"o\",\"service\":\"s\",\"version\":2,"
                    + "\"values\":{\"weight\":7,\"priority\":0,\"requestsPerSecond\":0,\"concurrency\":0,"
                    + "\"tokensPerSecond\":0,\"deadlineMillis\":1000,\"objectivePercent\":99.5,\"callerKeyHashes\":[]}}]}";

    private static String unreachableUrl() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "http://127.0.0.1:" + socket.getLocalPort();
        }
    }

    @Test
    public void commandFallsBackToTheNextEntry() throws IOException {
        try (FakeEntry entry = new FakeEntry().respondTo("GET table", TABLE)) {
            CliRun run = CliRun.execute(unreachableUrl() + "," + entry.url(), "table", "export");
            assertEquals(run.exitCode(), ExitCode.DONE);
            assertTrue(run.out().endsWith("\no,s,2,7,0,0,0,0,1000,99.5,\n"), run.out());
        }
    }

    @Test
    public void commandFailsAsUnreachableWhenAllEntriesAreDown() throws IOException {
        CliRun run = CliRun.execute(unreachableUrl() + "," + unreachableUrl(), "drain", "a1");
        assertEquals(run.exitCode(), ExitCode.UNREACHABLE);
        assertTrue(run.progress().contains("no entry answered"), run.progress());
    }
}
