package org.cornelramp.bench.measure;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Meters are summed over their labels, and a longer name with the same start is another meter. */
public class MetersTest {
    private static final String PAGE =
            """
            # HELP frames_total
            frames_total{direction="in"} 3.0
            frames_total{direction="out"} 4.0
            frames_total_other 100.0
            plain 7.5
            """;

    @Test
    public void sumsSeries() {
        Meters meters = new Meters(PAGE);
        assertEquals(meters.sum("frames_total"), 7.0);
        assertEquals(meters.sum("frames_total", "direction=\"in\""), 3.0);
        assertEquals(meters.sum("plain"), 7.5);
        assertEquals(meters.sum("absent"), 0.0);
    }
}
