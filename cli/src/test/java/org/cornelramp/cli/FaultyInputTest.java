package org.cornelramp.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/** Faulty files and command lines are told with their places, and no entry is asked for any change. */
public class FaultyInputTest {

    private static Path file(String suffix, String text) throws IOException {
        Path file = Files.createTempFile("cornelramp", suffix);
        file.toFile().deleteOnExit();
        return Files.writeString(file, text);
    }

    @Test
    public void aFaultyCsvEditsNothing() throws IOException {
        String head = "organisation,service,version,weight,priority,requestsPerSecond,concurrency,tokensPerSecond,"
                + "deadlineMillis,objectivePercent,callerKeyHashes\n";
        try (FakeEntry entry = new FakeEntry()) {
            Path file = file(".csv", head + "o,s,1,0,0,0,0,0,1000,99,\n");
            Ran ran = Ran.of(entry.url(), "table", "import", file.toString());
            assertEquals(ran.code(), ExitCode.USAGE);
            assertTrue(
                    ran.progress().contains("line 2 column weight: Give a number from 1 to 1000000."), ran.progress());
            assertTrue(entry.calls.isEmpty());
        }
    }

    @Test
    public void aFaultyJsonEditsNothing() throws IOException {
        try (FakeEntry entry = new FakeEntry()) {
            Path file = file(".json", "{\"offset\":1,\"rows\":[{\"organisation\":\"o\"}]}");
            assertEquals(Ran.of(entry.url(), "table", "import", file.toString()).code(), ExitCode.USAGE);
            assertTrue(entry.calls.isEmpty());
        }
    }

    @Test
    public void faultySettingsAreToldAsJsonToo() throws IOException {
        Path file = file(".json", "{\"role\":\"enty\"}");
        Ran ran = Ran.of("http://127.0.0.1:1", "settings", "check", file.toString(), "--json");
        assertEquals(ran.code(), ExitCode.USAGE);
        assertTrue(ran.out().contains("\"path\" : \"/role\""), ran.out());
    }

    @Test
    public void unknownCommandsAndColumnsAreUsage() throws IOException {
        assertEquals(Ran.of("http://127.0.0.1:1", "tabel", "get").code(), ExitCode.USAGE);
        assertEquals(Ran.of("http://127.0.0.1:1", "help").code(), ExitCode.DONE);
        assertEquals(Ran.of("http://127.0.0.1:1", "table", "set", "o").code(), ExitCode.USAGE);
        String row = "{\"organisation\":\"o\",\"service\":\"s\",\"version\":-1,\"values\":null}";
        try (FakeEntry entry = new FakeEntry().answer("GET table/o/s", row)) {
            assertEquals(
                    Ran.of(entry.url(), "table", "set", "o", "s", "wieght=1").code(), ExitCode.USAGE);
            assertEquals(
                    Ran.of(entry.url(), "table", "set", "o", "s", "weight=0").code(), ExitCode.USAGE);
            assertEquals(entry.count("POST edits"), 0);
        }
    }
}
