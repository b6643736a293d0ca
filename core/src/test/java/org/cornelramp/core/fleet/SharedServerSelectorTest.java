package org.cornelramp.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.logging.Logger;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Choice between plain servers that 41 gateways share. */
public class SharedServerSelectorTest {
    private static final Logger LOG = Logger.getLogger(SharedServerSelectorTest.class.getName());
    private static final DataCentre HOME = new DataCentre("dc1");
    private static final List<BackendServer> SERVERS =
            List.of(PlainFleet.server("p0"), PlainFleet.server("p1"), PlainFleet.server("p2"));

    /** Demand at all gateways together, in requests a second: three times that of deployment K. */
    private static final int PER_SECOND = 36;

    private PlainServerStats stats;

    private static final int LIGHT_LOAD_SEEDS = 16;

    private static final PlainFleet.Behaviour SOUND = (server, now) -> 1;
    private static final PlainFleet.Behaviour THRICE = (server, now) -> server == 2 ? 3 : 1;
    private static final PlainFleet.Behaviour TWELVE =
            (server, now) -> server == 2 && now % 20_000 >= 10_000 && now % 20_000 < 14_000 ? 12 : 1;
    private static final PlainFleet.Behaviour FAILS = new PlainFleet.Behaviour() {
        @Override
        public double slowdown(int server, long now) {
            return 1;
        }

        @Override
        public double failures(int server) {
            return server == 2 ? 1 / 3.0 : 0;
        }
    };

    @BeforeMethod
    public void start() {
        stats = new PlainServerStats();
    }

    /** The bound on sheds is a goal for the first load only; a fault that begins fills a server before it is noticed. */
    @DataProvider
    static Object[][] loads() {
        return new Object[][] {
            {"three times slower", THRICE, 1 / 500.0},
            {"slower by 12 for 4 of 20 s", TWELVE, 1 / 200.0},
            {"fails a third", FAILS, 1 / 200.0}
        };
    }

    /** Guards against goodput lost to a bad server, and against gateways that fill one server together. */
    @Test(dataProvider = "loads")
    public void goodputIsCloseToThatOfOneQueue(String name, PlainFleet.Behaviour behaviour, double mostSheds) {
        for (long seed = 1; seed <= 4; seed++) {
            PlainFleet shared = new PlainFleet(3, true, behaviour, seed).run(60_000, time -> PER_SECOND);
            PlainFleet today = new PlainFleet(3, false, behaviour, seed).run(60_000, time -> PER_SECOND);
            LOG.info("%s, seed %d: new %s; today's %s".formatted(name, seed, shared, today));
            assertTrue(shared.goodput() >= 0.95, name + " " + shared);
            assertTrue(shared.shedRate() < mostSheds, name + " " + shared);
        }
    }

    /** Data centres 3 ms apart; the work of a request takes 15 ms in the mean, or 60 ms as in the other tests. */
    @DataProvider
    static Object[][] distantLayouts() {
        return new Object[][] {
            {"15 ms", new PlainFleet.Layout(3, 3, 3, 15, false)},
            {"60 ms", new PlainFleet.Layout(3, 3, 3, 60, false)},
            {"15 ms, exponential", new PlainFleet.Layout(3, 3, 3, 15, true)},
            {"60 ms, exponential", new PlainFleet.Layout(3, 3, 3, 60, true)}
        };
    }

    /** Guards against requests that are sent to another data centre although the nearest server has room. */
    @Test(dataProvider = "distantLayouts", groups = "known-red")
    public void answersAtLightLoadAreNotLaterThanWithTheSelectorForFewGateways(String name, PlainFleet.Layout layout) {
        for (int perSecond : new int[] {6, 12}) {
            PlainFleet.Totals shared = PlainFleet.totals(layout, true, SOUND, perSecond, LIGHT_LOAD_SEEDS);
            PlainFleet.Totals today = PlainFleet.totals(layout, false, SOUND, perSecond, LIGHT_LOAD_SEEDS);
            LOG.info("%s, %d requests/s: new %s; today's %s".formatted(name, perSecond, shared, today));
            assertTrue(shared.medianMillis() <= today.medianMillis(), name + ": " + shared + ", today's " + today);
            assertTrue(shared.lateShare() <= today.lateShare() + 0.01, name + ": " + shared + ", today's " + today);
        }
    }

    private BackendServerId choose(long now, long seed) {
        SharedServerSelector.Situation situation = new SharedServerSelector.Situation(HOME, id -> 0, now);
        return new SharedServerSelector(stats)
                .choose(SERVERS, Set.of(), situation, new SplittableRandom(seed))
                .orElseThrow()
                .id();
    }

    private long countChosen(int server, long now) {
        long count = 0;
        for (long seed = 0; seed < 4_000; seed++) {
            count += choose(now, seed).equals(SERVERS.get(server).id()) ? 1 : 0;
        }
        return count;
    }

    /** Guards against a server that gets its whole share as soon as it has started, and against one that gets none. */
    @Test
    public void shareOfColdServerRisesStepByStep() {
        SERVERS.forEach(server -> stats.requestSent(server.id(), 0));
        SERVERS.forEach(server -> stats.requestEnded(server.id(), PlainServerStats.Outcome.SUCCEEDED, 60, 60));
        stats.coldReported(SERVERS.get(2).id(), 4_000, 1_000);
        stats.coldReported(SERVERS.get(2).id(), 9_000, 1_500); // an outdated record
        long before = 0;
        for (long now : new long[] {1_000, 2_000, 3_000, 4_000}) {
            long chosen = countChosen(2, now);
            assertTrue(chosen > before, chosen + " after " + before);
            before = chosen;
        }
        assertTrue(before > 1_200, before + " of 4000");
    }

    /** Guards against requests that are sent to a server again and again while it sheds. */
    @Test
    public void sheddingServerIsAvoidedUntilItsLoadCanHaveFallen() {
        stats.requestSent(SERVERS.get(0).id(), 100);
        assertTrue(stats.requestEnded(SERVERS.get(0).id(), PlainServerStats.Outcome.SHED, 2, 102));
        assertEquals(countChosen(0, 110), 0);
        assertTrue(countChosen(0, 140) > 0);
        assertFalse(stats.loadReported(SERVERS.get(0).id(), 5, 6, 140));
    }

    /** Guards against unsafe requests that wait although a server may have room or the wait would be longer. */
    @Test
    public void waitIsUsefulOnlyWhileAllServersAreFullAndASlotIsNear() {
        SharedServerSelector selector = new SharedServerSelector(stats);
        SERVERS.forEach(server -> stats.loadReported(server.id(), 8, 6, 100));
        assertEquals(selector.millisUntilSlot(SERVERS, Set.of(), 100).orElse(0), 30);
        assertTrue(selector.millisUntilSlot(SERVERS, Set.of(), 130).isEmpty(), "a slot is expected now");
        assertTrue(SharedServerSelector.isWaitUseful(30, 35));
        assertFalse(SharedServerSelector.isWaitUseful(30, 29), "longer than allowed");
        assertFalse(SharedServerSelector.isWaitUseful(60, 75), "slower than a refusal");
        stats.loadReported(SERVERS.get(1).id(), 3, 6, 101);
        assertTrue(selector.millisUntilSlot(SERVERS, Set.of(), 101).isEmpty(), "one has room");
    }
}
