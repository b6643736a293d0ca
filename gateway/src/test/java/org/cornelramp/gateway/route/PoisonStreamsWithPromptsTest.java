package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cornelramp.gateway.route.PoisonFleet.Kind;
import org.cornelramp.gateway.route.PoisonFleet.Poison;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Streams that crash each engine that runs them, come again and again, and share parts of their prompts with sound ones. */
public class PoisonStreamsWithPromptsTest {
    /** Sends to servers that the users allow, by gateways in touch, once the third server has crashed 3 s ago. */
    private static final int ALLOWED_SENDS = 3;

    private static final int GATEWAYS = 4;
    private static final double PER_SECOND = 25;
    private static final int PAUSE_MILLIS = 300;
    private static final long RUN_MILLIS = 20_000;

    /** Engines beside those of the other histories, where engines end for other reasons. */
    private static final int MORE_ENGINES = 4;

    private static final int OTHER_CRASHES = 20;
    private static final int OTHER_CRASHES_MILLIS = 12_000;

    @DataProvider
    Object[][] histories() {
        return Stream.of(2, 3, 4)
                .flatMap(engines -> IntStream.range(0, 20).mapToObj(i -> new Object[] {engines, 5_400L + i}))
                .toArray(Object[][]::new);
    }

    /**
     * Guards against a request that is let through again, and sound ones that are refused, because parts of prompts are
     * held to explain the crashes of two requests.
     */
    @Test(dataProvider = "histories", groups = "known-red")
    public void twoStreamsThatComeAgainAreHeldBackAndNoPartOfTheirPrompts(int engines, long seed) {
        assertHeldBackAlone(newFleet(2, engines, seed), seed);
    }

    /** Guards against the same where three such requests come at the same time. */
    @Test(dataProvider = "histories", groups = "known-red")
    public void threeStreamsThatComeAgainAreHeldBackAndNoPartOfTheirPrompts(int engines, long seed) {
        assertHeldBackAlone(newFleet(3, engines, seed), seed);
    }

    /** Guards against a stream that is let through again because engines also end for other reasons, under parts that it shares. */
    @Test(dataProvider = "histories", groups = "known-red")
    public void streamThatComesAgainIsHeldBackWhereEnginesAlsoEndForOtherReasons(int engines, long seed) {
        int all = engines + MORE_ENGINES;
        PoisonFleet fleet = newFleet(1, all, seed);
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < OTHER_CRASHES; i++) {
            int server = random.nextInt(all);
            fleet.schedule(random.nextInt(OTHER_CRASHES_MILLIS), () -> fleet.crashServer(server));
        }
        assertHeldBackAlone(fleet, seed);
    }

    private static PoisonFleet newFleet(int streams, int engines, long seed) {
        PoisonFleet fleet = new PoisonFleet(GATEWAYS, engines, 0, seed);
        fleet.setRelayed(seed % 2 == 0);
        for (int i = 0; i < streams; i++) {
            String prompt = "a0000000:800,b000000%d:410,c000000%d:250,e000000%d:30".formatted(i, 2 * i, i);
            fleet.repeatStream(fleet.addPoison(Kind.STREAM, i % 2), prompt, PAUSE_MILLIS);
        }
        return fleet;
    }

    private static void assertHeldBackAlone(PoisonFleet fleet, long seed) {
        PromptTraffic traffic = new PromptTraffic(fleet, PER_SECOND, seed);
        traffic.start();
        fleet.run(RUN_MILLIS, 0);
        for (Poison poison : fleet.poisons()) {
            assertTrue(poison.lateArrivals() <= ALLOWED_SENDS, fleet.poisons().toString());
        }
        assertEquals(fleet.innocentsSetAside(), 0, fleet.poisons().toString());
        assertTrue(fleet.hasNoExceptions());
    }
}
