package org.cornelramp.core.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** The sample settings files are valid, and their timing and bounds equal the defaults. */
public class SampleSettingsTest {
    private static final Path SAMPLES = Path.of("..", "config", "samples");

    @Test
    public void everySampleIsValid() throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.list(SAMPLES)) {
            files = all.filter(file -> file.toString().endsWith(".json")).toList();
        }
        assertTrue(files.size() >= 3);
        for (Path file : files) {
            DaemonSettings settings = new SettingsReader()
                    .read(Files.readString(file))
                    .getOrElseThrow(faults -> new AssertionError(file + ": " + faults));
            assertEquals(settings.timing(), TimingSettings.DEFAULTS, file.toString());
            assertEquals(settings.bounds(), BoundSettings.DEFAULTS, file.toString());
        }
    }
}
