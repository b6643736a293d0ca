package org.cornelramp.core.path;

import static org.testng.Assert.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;
import org.testng.annotations.Test;

/**
 * An eighth of the engines works four times as long for nine seconds while two hundred streams run. Streams pass eight
 * engines each, and pause for 180 ms where 200 ms are allowed; ordinary pauses are 50 to 60 ms.
 */
public class SlowEnginesTest {
    private static SlowEngines.Stream stream(double share, String... engines) {
        return new SlowEngines.Stream(
                Arrays.stream(engines).map(BackendServerId::new).toList(), share);
    }

    private static Set<BackendServerId> ids(String... engines) {
        return Set.copyOf(Arrays.stream(engines).map(BackendServerId::new).toList());
    }

    @Test
    public void onACalmDayNobodyIsAsked() {
        assertEquals(SlowEngines.find(List.of(stream(0.3, "a", "b"), stream(0.2, "a", "c"))), Set.of());
    }

    @Test
    public void enginesThatAQuickStreamPassesAreNotAsked() {
        assertEquals(SlowEngines.find(List.of(stream(0.9, "a", "b", "slow"), stream(0.2, "a", "b", "d"))), ids("slow"));
    }

    /** All streams of a data centre are slow, and nothing tells its engines apart: all of them are asked. */
    @Test
    public void whatCannotBeToldApartIsAskedTogether() {
        assertEquals(SlowEngines.find(List.of(stream(0.9, "a", "b"), stream(0.5, "a", "c"))), ids("a", "b", "c"));
    }
}
