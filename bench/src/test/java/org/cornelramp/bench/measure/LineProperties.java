package org.cornelramp.bench.measure;

import static org.testng.Assert.assertEquals;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

/** Fitting points that lie on a line must return that line. */
class LineProperties {
    private static final double[] SIZES = {1, 2, 4, 8, 16};

    @Property(seed = "7751")
    void findsTheLine(
            @ForAll @DoubleRange(min = -1e6, max = 1e6) double slope,
            @ForAll @DoubleRange(min = -1e6, max = 1e6) double intercept) {
        double[] values = new double[SIZES.length];
        for (int i = 0; i < values.length; i++) {
            values[i] = intercept + slope * SIZES[i];
        }
        Line line = Line.fit(SIZES, values);
        assertEquals(line.slope(), slope, 1e-3);
        assertEquals(line.intercept(), intercept, 1e-3);
    }
}
