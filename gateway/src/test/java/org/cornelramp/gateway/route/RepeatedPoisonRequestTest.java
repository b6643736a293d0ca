package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cornelramp.gateway.route.PoisonFleet.Kind;
import org.cornelramp.gateway.route.PoisonFleet.Poison;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests that crash each server that runs them, which their callers send again to any gateway. */
public class RepeatedPoisonRequestTest {
    /** Sends to servers that the users allow, by gateways in touch, once the third server has crashed 3 s ago. */
    private static final int ALLOWED_SENDS = 3;

    private static final int ENGINES = PoisonHistory.ENGINES;
    private static final int PLAIN_SERVERS = PoisonHistory.PLAIN_SERVERS;
    private static final long PAUSE_MILLIS = 300;
    private static final long RUN_MILLIS = 30_000;

    @DataProvider
    Object[][] kindsAndFleets() {
        return Stream.of(Kind.values())
                .flatMap(kind -> IntStream.of(1, 4, 9, 28).mapToObj(gateways -> new Object[] {kind, gateways}))
                .toArray(Object[][]::new);
    }

    /** Guards against a request that takes down one server after the other, each time as if it were new. */
    @Test(dataProvider = "kindsAndFleets")
    public void requestThatComesAgainCrashesThreeServersAtMost(Kind kind, int gateways) {
        PoisonFleet fleet = new PoisonFleet(gateways, ENGINES, PLAIN_SERVERS, 4901);
        Poison poison = fleet.addPoison(kind, 0);
        fleet.run(1_000, 20.0 / gateways);
        fleet.repeat(poison, PAUSE_MILLIS);
        fleet.run(RUN_MILLIS, 20.0 / gateways);
        assertTrue(poison.crashes() <= PoisonFleet.CRASHES, poison.toString());
        assertRule(fleet);
        assertEquals(fleet.innocentsSetAside(), 0);
    }

    /** Guards against servers whose end is not seen, since the relay before them still accepts connections. */
    @Test(dataProvider = "kindsAndFleets")
    public void requestIsHeldBackWhereRelaysAcceptConnectionsForDeadServers(Kind kind, int gateways) {
        PoisonFleet fleet = new PoisonFleet(gateways, ENGINES, PLAIN_SERVERS, 4906);
        fleet.setRelayed(true);
        Poison poison = fleet.addPoison(kind, 0);
        fleet.run(1_000, 20.0 / gateways);
        fleet.repeat(poison, PAUSE_MILLIS);
        fleet.run(RUN_MILLIS, 20.0 / gateways);
        assertRule(fleet);
        assertEquals(fleet.innocentsSetAside(), 0);
    }

    @DataProvider
    Object[][] failures() {
        return IntStream.of(500, 504, 404)
                .boxed()
                .flatMap(status -> Stream.of(kindsAndFleets()).map(row -> new Object[] {row[0], row[1], status}))
                .toArray(Object[][]::new);
    }

    /** Guards against a server's own failure, which says nothing about the request, that clears it of its crashes. */
    @Test(dataProvider = "failures")
    public void requestIsHeldBackWhereServersFailSomeOfItsRuns(Kind kind, int gateways, int status) {
        PoisonFleet fleet = new PoisonFleet(gateways, ENGINES, PLAIN_SERVERS, 4907);
        fleet.setFailures(RunFailures.of(0.2, status));
        Poison poison = fleet.addPoison(kind, 0);
        fleet.run(1_000, 20.0 / gateways);
        fleet.repeat(poison, PAUSE_MILLIS);
        fleet.run(RUN_MILLIS, 20.0 / gateways);
        assertTrue(poison.crashes() <= PoisonFleet.CRASHES, poison.toString());
        assertRule(fleet);
        assertEquals(fleet.innocentsSetAside(), 0);
    }

    /** Guards against streams that crash their engine only after an event, so that each run makes progress. */
    @Test
    public void streamThatCrashesItsEngineAfterAnEventCrashesThreeAtMost() {
        PoisonFleet fleet = new PoisonFleet(4, ENGINES, PLAIN_SERVERS, 4902);
        Poison poison = fleet.addPoison(Kind.STREAM, 1);
        fleet.run(1_000, 5);
        fleet.repeat(poison, PAUSE_MILLIS);
        fleet.run(RUN_MILLIS, 5);
        assertTrue(poison.crashes() <= PoisonFleet.CRASHES, poison.toString());
        assertRule(fleet);
        assertEquals(fleet.innocentsSetAside(), 0);
    }

    /** Guards against a fleet that a few requests of one caller take down for all others. */
    @Test
    public void otherRequestsAreServedWhileFourPoisonRequestsComeAgain() {
        PoisonFleet fleet = new PoisonFleet(4, ENGINES, PLAIN_SERVERS, 4903);
        fleet.addPoison(Kind.STREAM, 0);
        fleet.addPoison(Kind.STREAM, 1);
        fleet.addPoison(Kind.IDEMPOTENT, 0);
        fleet.addPoison(Kind.NON_IDEMPOTENT, 0);
        fleet.run(1_000, 12);
        fleet.poisons().forEach(poison -> fleet.repeat(poison, PAUSE_MILLIS));
        fleet.run(RUN_MILLIS / 2, 12);
        long settled = fleet.now();
        fleet.run(RUN_MILLIS / 2, 12);
        fleet.run(2_000, 0);
        assertRule(fleet);
        assertEquals(fleet.innocentsSetAside(), 0);
        double served = fleet.innocents().servedSince(settled);
        assertTrue(served > 0.99, "share served after the crashes: " + served);
    }

    /** Guards against copies of one request that reach all gateways before any of them has heard of a crash. */
    @Test
    public void copiesAtOnceAreNotSentAgainLater() {
        PoisonFleet fleet = new PoisonFleet(4, ENGINES, PLAIN_SERVERS, 4904);
        Poison poison = fleet.addPoison(Kind.STREAM, 0);
        fleet.run(1_000, 5);
        for (int copies = 0; copies < 40; copies++) {
            IntStream.range(0, 4).forEach(gateway -> fleet.send(poison, gateway));
            fleet.run(700, 5);
        }
        assertRule(fleet);
        assertEquals(fleet.innocentsSetAside(), 0);
    }

    /** Guards against a gateway that has just started and lets through what its peers refuse. */
    @Test
    public void gatewayThatHasStartedRefusesWhatItsPeersRefuse() {
        PoisonFleet fleet = new PoisonFleet(4, ENGINES, PLAIN_SERVERS, 4905);
        Poison poison = fleet.addPoison(Kind.STREAM, 0);
        fleet.repeat(poison, PAUSE_MILLIS);
        fleet.run(10_000, 5);
        int crashes = poison.crashes();
        for (int i = 0; i < 5; i++) {
            int added = fleet.addGateway();
            fleet.run(1_000, 5);
            assertTrue(PoisonFleet.isSetAside(fleet.send(poison, added)), "gateway " + added);
        }
        assertEquals(poison.crashes(), crashes);
    }

    @DataProvider
    Object[][] histories() {
        return IntStream.range(0, 60).mapToObj(i -> new Object[] {4_910L + i}).toArray(Object[][]::new);
    }

    /** Guards against any series of crashes, restarts, cuts and lost or late updates that lets a request through again. */
    @Test(dataProvider = "histories")
    public void poisonRequestsAreHeldBackInRandomHistories(long seed) {
        assertHeldBack(seed);
    }

    @DataProvider
    Object[][] historiesThatBreakTheRule() {
        return new Object[][] {{6_067L}, {6_251L}, {6_375L}, {6_378L}};
    }

    /** Guards against requests that are sent on because the only gateway has started again and knows nothing. */
    @Test(dataProvider = "historiesThatBreakTheRule", groups = "known-red")
    public void poisonRequestsAreHeldBackInHistoriesThatWereFound(long seed) {
        assertHeldBack(seed);
    }

    private static void assertHeldBack(long seed) {
        assertHeldBack(seed, fleet -> {});
    }

    private static void assertHeldBack(long seed, Consumer<PoisonFleet> more) {
        SplittableRandom random = new SplittableRandom(seed);
        PoisonFleet fleet = new PoisonFleet(1 + random.nextInt(6), ENGINES, PLAIN_SERVERS, seed);
        more.accept(fleet);
        for (int i = 1 + random.nextInt(4); i > 0; i--) {
            Kind kind = List.of(Kind.values()).get(random.nextInt(Kind.values().length));
            Poison poison = fleet.addPoison(kind, kind == Kind.STREAM ? random.nextInt(2) : 0);
            fleet.schedule(random.nextInt(8_000), () -> fleet.repeat(poison, 100L + random.nextInt(1_500)));
        }
        PoisonHistory.disturb(fleet, random, 40);
        assertRule(fleet);
        assertTrue(fleet.hasNoExceptions());
    }

    /** Guards against failed, late and unframed answers that let a request through again, in the same histories. */
    @Test(dataProvider = "histories")
    public void poisonRequestsAreHeldBackInRandomHistoriesWithFailures(long seed) {
        assertHeldBack(seed, fleet -> PoisonHistory.drawFailures(fleet, seed, 60));
    }

    /** Guards against refusals of sound requests that many callers send, and that some servers fail. */
    @Test(dataProvider = "histories", groups = "known-red")
    public void crashesAndFailuresSetNoPopularRequestAside(long seed) {
        assertNoneSetAside(seed, Optional.empty());
    }

    /** Guards against refusals of sound requests that many callers send, and for which servers find nothing. */
    @Test(dataProvider = "histories", groups = "known-red")
    public void crashesSetNoPopularRequestAsideThatFindsNothing(long seed) {
        assertNoneSetAside(seed, Optional.of(404));
    }

    private static void assertNoneSetAside(long seed, Optional<Integer> status) {
        SplittableRandom random = new SplittableRandom(seed);
        PoisonFleet fleet = new PoisonFleet(1 + random.nextInt(6), ENGINES, PLAIN_SERVERS, seed);
        PoisonHistory.drawFailures(fleet, seed, 90);
        PoisonHistory.repeatInnocents(fleet, status);
        PoisonHistory.disturb(fleet, random, 60);
        assertEquals(fleet.innocentsSetAside(), 0);
        assertTrue(fleet.hasNoExceptions());
    }

    /** Guards against requests that are refused although they have only been at servers that crashed for other reasons. */
    @Test(dataProvider = "histories")
    public void crashesWithoutAPoisonRequestSetNoRequestAside(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PoisonFleet fleet = new PoisonFleet(1 + random.nextInt(6), ENGINES, PLAIN_SERVERS, seed);
        PoisonHistory.disturb(fleet, random, 60);
        assertEquals(fleet.innocentsSetAside(), 0);
        assertTrue(fleet.hasNoExceptions());
    }

    private static void assertRule(PoisonFleet fleet) {
        for (Poison poison : fleet.poisons()) {
            assertTrue(poison.lateArrivals() <= ALLOWED_SENDS, poison.toString());
        }
    }
}
