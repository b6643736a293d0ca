package org.cornelramp.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/** Guards against changes sent for faulty files or command lines, and against errors that do not name the place. */
public class FaultyInputTest {

    private static Path temporaryFile(String suffix, String text) throws IOException {
        Path file = Files.createTempFile("cornelramp", suffix);
        file.toFile().deleteOnExit();
        return Files.writeString(file, text);
    }

    @Test
    public void faultyCsvSendsNoEdit() throws IOException {
        String head = "organisation,service,version,weight,priority,requestsPerSecond,concurrency,tokensPerSecond,"
                + "deadlineMillis,objectivePercent,callerKeyHashes\n";
        try (FakeEntry entry = new FakeEntry()) {
            Path file = temporaryFile(".csv", head + "o,s,1,0,0,0,0,0,1000,99,\n");
            CliRun run = CliRun.execute(entry.url(), "table", "import", file.toString());
            assertEquals(run.exitCode(), ExitCode.USAGE);
            assertTrue(
                    run.progress().contains("line 2 column weight: Give a number from 1 to 1000000."), run.progress());
            assertTrue(entry.calls.isEmpty());
        }
    }

    @Test
    public void faultyJsonSendsNoEdit() throws IOException {
        try (FakeEntry entry = new FakeEntry()) {
            Path file = temporaryFile(".json", "{\"offset\":1,\"rows\":[{\"organisation\":\"o\"}]}");
            assertEquals(
                    CliRun.execute(entry.url(), "table", "import", file.toString())
                            .exitCode(),
                    ExitCode.USAGE);
            assertTrue(entry.calls.isEmpty());
        }
    }

    @Test
    public void faultySettingsAreReportedAsJson() throws IOException {
        Path file = temporaryFile(".json", "{\"role\":\"enty\"}");
        CliRun run = CliRun.execute("http://127.0.0.1:1", "settings", "check", file.toString(), "--json");
        assertEquals(run.exitCode(), ExitCode.USAGE);
        assertTrue(run.out().contains("\"path\" : \"/role\""), run.out());
    }

    @Test
    public void unknownCommandsAndColumnsAreUsageErrors() throws IOException {
        assertEquals(CliRun.execute("http://127.0.0.1:1", "tabel", "get").exitCode(), ExitCode.USAGE);
        assertEquals(CliRun.execute("http://127.0.0.1:1", "help").exitCode(), ExitCode.DONE);
        assertEquals(CliRun.execute("http://127.0.0.1:1", "table", "set", "o").exitCode(), ExitCode.USAGE);
        String row = "{\"organisation\":\"o\",\"service\":\"s\",\"version\":-1,\"values\":null}";
        try (FakeEntry entry = new FakeEntry().respondTo("GET table/o/s", row)) {
            assertEquals(
                    CliRun.execute(entry.url(), "table", "set", "o", "s", "wieght=1")
                            .exitCode(),
                    ExitCode.USAGE);
            assertEquals(
                    CliRun.execute(entry.url(), "table", "set", "o", "s", "weight=0")
                            .exitCode(),
                    ExitCode.USAGE);
            assertEquals(entry.callCount("POST edits"), 0);
        }
    }
}
