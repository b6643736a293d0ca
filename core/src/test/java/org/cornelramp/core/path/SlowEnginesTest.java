package org.cornelramp.core.path;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;
import org.testng.annotations.Test;

/** Eight of sixty engines turn slow while streams pass eleven engines each. */
public class SlowEnginesTest {
    private static final int ENGINES = 60;
    private static final int SLOW_ENGINES = 8;
    private static final int HOPS = 11;
    private static final int STREAMS = 60;

    /** What one slow engine adds to the pauses of a stream, as a part of its usual ones. */
    private static final double ADDED = 0.9;

    private static BackendServerId id(int number) {
        return new BackendServerId("i-" + number);
    }

    /** Streams over random engines of which the first few are slow; their usual pauses differ by a tenth. */
    private static List<SlowEngines.Stream> streams(int slow, Random random) {
        List<SlowEngines.Stream> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            Set<Integer> passed = new HashSet<>();
            while (passed.size() < HOPS) {
                passed.add(random.nextInt(ENGINES));
            }
            long held = passed.stream().filter(number -> number < slow).count();
            double slowness = (1.9 + 0.2 * random.nextDouble()) * (1 + ADDED * held);
            streams.add(new SlowEngines.Stream(
                    passed.stream().map(SlowEnginesTest::id).toList(), slowness));
        }
        return streams;
    }

    /** Guards against questions to engines of a fleet that runs as usual. */
    @Test
    public void noEngineIsAskedWhileAllAreQuick() {
        SlowEngines slow = new SlowEngines();
        Random random = new Random(1);
        for (int look = 0; look < 50; look++) {
            assertEquals(slow.find(streams(0, random)), Set.of());
        }
    }

    /**
     * Guards against slow engines that nobody finds: four in five streams pass one of them, so that slow streams are the
     * usual ones, and each stream passes ten engines that are not slow. Half of the fleet is asked at most.
     */
    @Test
    public void slowEnginesAreFoundAmongManySlowStreams() {
        SlowEngines slow = new SlowEngines();
        Random random = new Random(2);
        slow.find(streams(0, random));
        for (int look = 0; look < 25; look++) {
            Set<BackendServerId> found = slow.find(streams(SLOW_ENGINES, random));
            for (int i = 0; i < SLOW_ENGINES; i++) {
                assertTrue(found.contains(id(i)), "look " + look + " misses " + i);
            }
            assertTrue(found.size() <= ENGINES / 2, "asked " + found.size());
        }
    }
}
