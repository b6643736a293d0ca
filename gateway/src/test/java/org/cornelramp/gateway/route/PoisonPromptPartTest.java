package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.gateway.route.PoisonFleet.Kind;
import org.cornelramp.gateway.route.PoisonFleet.Poison;
import org.cornelramp.gateway.route.PromptTraffic.RareParts;
import org.cornelramp.gateway.route.SoundRequests.Started;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A part of prompts that crashes each engine which begins to write an answer on it, in requests of which no two are
 * alike and which share their caller and their other parts with sound ones.
 */
public class PoisonPromptPartTest {
    /** Sends to servers that the users allow, by gateways in touch, once the fifth server has crashed 3 s ago. */
    private static final int ALLOWED_SENDS = 3;

    /** Fewest streams of which a share is told. */
    private static final int ENOUGH = 20;

    private static final int MANY_CRASHES = 30;

    /** Seeds of histories in which a rule is broken; see the list of known failures. */
    private static final Set<Long> LISTED_SEEDS = Set.of(
            5_201L, 5_203L, 5_205L, 5_206L, 5_210L, 5_212L, 5_213L, 5_214L, 5_220L, 5_224L, 5_226L, 5_228L, 5_234L,
            5_241L, 5_246L, 5_248L, 5_249L, 5_253L, 5_255L, 5_256L);

    private static final String PART = "e0000001:300";
    private static final String OTHER_PART = "e0000002:150";
    private static final double SHARE = 0.1;
    private static final double PER_SECOND = 50;
    private static final long CALM_MILLIS = 4_000;
    private static final long RUN_MILLIS = 20_000;

    /** Longer than callers of streams wait for the first event. */
    private static final long END_MILLIS = 3_000;

    @DataProvider
    Object[][] fleets() {
        return fleetsOf(1, 4, 9, 28);
    }

    @DataProvider
    Object[][] smallFleets() {
        return fleetsOf(1, 4);
    }

    /** Each number of gateways with each number of events before a crash. */
    private static Object[][] fleetsOf(int... gatewayCounts) {
        return IntStream.of(gatewayCounts)
                .boxed()
                .flatMap(gateways -> Stream.of(0, 1).map(events -> new Object[] {gateways, events}))
                .toArray(Object[][]::new);
    }

    /** Guards against requests of which each is new and crashes a server by a part that all of them have. */
    @Test(dataProvider = "fleets")
    public void requestsWithThePartAreHeldBackAndOthersServed(int gateways, int eventsBeforeCrash) {
        PoisonFleet fleet = newFleet(gateways);
        assertHeldBack(fleet, third(fleet, eventsBeforeCrash));
    }

    /** Guards against crashes that are not seen because a relay still accepts connections for the dead engine. */
    @Test(dataProvider = "fleets")
    public void partIsHeldBackWhereRelaysAcceptConnectionsForDeadEngines(int gateways, int eventsBeforeCrash) {
        PoisonFleet fleet = newFleet(gateways);
        fleet.setRelayed(true);
        assertHeldBack(fleet, third(fleet, eventsBeforeCrash));
    }

    /** Guards against streams that may not be resumed, each of which is sent to one engine only. */
    @Test(dataProvider = "smallFleets")
    public void partOfStreamsThatMayNotBeResumedIsHeldBack(int gateways, int eventsBeforeCrash) {
        PoisonFleet fleet = newFleet(gateways);
        fleet.publish(StandInConfig.small(2).jsonWithoutStreamResumption());
        assertHeldBack(fleet, third(fleet, eventsBeforeCrash));
    }

    @DataProvider
    Object[][] places() {
        return new Object[][] {{0}, {1}, {2}};
    }

    /** Guards against a part that is found only at one place of the prompt. */
    @Test(dataProvider = "places")
    public void partIsHeldBackAtEachPlace(int place) {
        PoisonFleet fleet = newFleet(4);
        assertHeldBack(fleet, new RareParts(List.of(PART), place, SHARE, Optional.of(fleet.addPoisonPart(PART, 1))));
    }

    /** Guards against two parts that always come together and cannot be told apart. */
    @Test(dataProvider = "smallFleets")
    public void partsThatAlwaysComeTogetherAreHeldBack(int gateways, int eventsBeforeCrash) {
        PoisonFleet fleet = newFleet(gateways);
        Poison poison = fleet.addPoisonPart(PART, eventsBeforeCrash);
        assertHeldBack(fleet, new RareParts(List.of(OTHER_PART, PART), 1, SHARE, Optional.of(poison)));
    }

    /** Guards against a request that repeats a part which crashes servers, and hides it from those that are new. */
    @Test(dataProvider = "smallFleets")
    public void partIsHeldBackThatAlsoComesInARequestWhichIsRepeated(int gateways, int eventsBeforeCrash) {
        PoisonFleet fleet = newFleet(gateways);
        RareParts rare = third(fleet, eventsBeforeCrash);
        Poison whole = fleet.addPoison(Kind.STREAM, eventsBeforeCrash);
        fleet.schedule(CALM_MILLIS, () -> repeat(fleet, whole, rare.poison().get()));
        assertHeldBack(fleet, rare);
    }

    private static void repeat(PoisonFleet fleet, Poison whole, Poison part) {
        if (whole.last() == null || whole.last().exchange().isEnded()) {
            String prompt = "a0000000:800,b0000001:410," + PART + ",d9999999:30";
            int gateway = whole.crashes() % fleet.gatewayCount();
            fleet.sendStream(gateway, whole.content(), prompt, List.of(whole, part));
        }
        fleet.schedule(300, () -> repeat(fleet, whole, part));
    }

    /** Guards against gateways that let through what another one refuses, because they have seen no crash themselves. */
    @Test(dataProvider = "fleets")
    public void partIsRefusedAtOnceAtEachGatewayAlsoOneThatHasStarted(int gateways, int eventsBeforeCrash) {
        PoisonFleet fleet = newFleet(gateways);
        RareParts rare = third(fleet, eventsBeforeCrash);
        PromptTraffic traffic = run(fleet, rare);
        for (int i = 0; i < gateways; i++) {
            assertRefused(traffic.send(i, rare), "gateway " + i);
        }
        for (int i = 0; gateways > 1 && i < 3; i++) {
            int added = fleet.addGateway();
            fleet.run(1_000, 0);
            assertRefused(traffic.send(added, rare), "added gateway " + added);
        }
    }

    private static void assertRefused(FakeClient client, String at) {
        assertEquals(client.status(), 503, at);
        assertTrue(PoisonFleet.isSetAside(client), at + ": " + client.received());
    }

    /** Guards against requests that are refused because a part of them is rare, though it crashes no server. */
    @Test(dataProvider = "fleets")
    public void partThatCrashesNoServerIsServed(int gateways, int unused) {
        PoisonFleet fleet = newFleet(gateways);
        run(fleet, new RareParts(List.of(PART), 2, SHARE, Optional.empty()));
        assertEquals(fleet.innocentsSetAside(), 0);
        Started started = fleet.innocents().startedWithin(0, fleet.now());
        assertTrue(started.share() > 0.99, started.toString());
    }

    @DataProvider
    Object[][] histories() {
        return IntStream.range(0, 60).mapToObj(i -> new Object[] {5_200L + i}).toArray(Object[][]::new);
    }

    @DataProvider
    Object[][] historiesThatKeepTheRules() {
        return Stream.of(histories())
                .filter(row -> !LISTED_SEEDS.contains(row[0]))
                .toArray(Object[][]::new);
    }

    /** Guards against any series of crashes, restarts, cuts and lost or late updates that lets a part through again. */
    @Test(dataProvider = "historiesThatKeepTheRules")
    public void partsAreHeldBackInRandomHistories(long seed) {
        assertHistory(seed);
    }

    @DataProvider
    Object[][] historiesThatBreakARule() {
        return LISTED_SEEDS.stream().sorted().map(seed -> new Object[] {seed}).toArray(Object[][]::new);
    }

    /** Guards against the same in histories in which a part is let through, or a sound request is refused. */
    @Test(dataProvider = "historiesThatBreakARule", groups = "known-red")
    public void partsAreHeldBackInHistoriesThatWereFound(long seed) {
        assertHistory(seed);
    }

    private static void assertHistory(long seed) {
        PoisonFleet fleet = runHistory(seed, true);
        assertRules(fleet);
        assertTrue(fleet.hasNoExceptions());
    }

    @DataProvider
    Object[][] historiesWithFailures() {
        return IntStream.range(0, 30).mapToObj(i -> new Object[] {5_300L + i}).toArray(Object[][]::new);
    }

    /** Guards against failed, late and unframed answers of engines that let a part through again. */
    @Test(dataProvider = "historiesWithFailures", groups = "known-red")
    public void partsAreHeldBackInRandomHistoriesWithFailures(long seed) {
        PoisonFleet fleet = runHistory(seed, true, started -> PoisonHistory.drawFailures(started, seed, 40));
        assertRules(fleet);
        assertTrue(fleet.hasNoExceptions());
    }

    /** Guards against requests that are refused for crashes that no part of a prompt has caused, in the same histories. */
    @Test(dataProvider = "historiesWithFailures")
    public void crashesAndFailuresWithoutAPoisonPartSetNoRequestAside(long seed) {
        PoisonFleet fleet = runHistory(seed, false, started -> PoisonHistory.drawFailures(started, seed, 40));
        assertEquals(fleet.innocentsSetAside(), 0);
        assertTrue(fleet.hasNoExceptions());
    }

    /** Guards against requests that are refused for crashes that no part of a prompt has caused. */
    @Test(dataProvider = "histories")
    public void crashesWithoutAPoisonPartSetNoRequestAside(long seed) {
        PoisonFleet fleet = runHistory(seed, false);
        assertEquals(fleet.innocentsSetAside(), 0);
        assertTrue(fleet.hasNoExceptions());
    }

    /** Runs a history that is the same with and without a part that crashes engines, up to its first crash. */
    private static PoisonFleet runHistory(long seed, boolean poisoned) {
        return runHistory(seed, poisoned, fleet -> {});
    }

    private static PoisonFleet runHistory(long seed, boolean poisoned, Consumer<PoisonFleet> more) {
        SplittableRandom random = new SplittableRandom(seed);
        PoisonFleet fleet =
                new PoisonFleet(1 + random.nextInt(6), PoisonHistory.ENGINES, PoisonHistory.PLAIN_SERVERS, seed);
        fleet.setRelayed(random.nextInt(3) == 0);
        more.accept(fleet);
        PromptTraffic traffic = new PromptTraffic(fleet, 10 + random.nextInt(30), seed);
        traffic.start();
        int events = random.nextInt(2);
        RareParts suspect = new RareParts(
                List.of(PART),
                random.nextInt(3),
                0.05 + random.nextInt(3) * 0.05,
                poisoned ? Optional.of(fleet.addPoisonPart(PART, events)) : Optional.empty());
        fleet.schedule(CALM_MILLIS + random.nextInt(6_000), () -> traffic.add(suspect));
        if (random.nextBoolean()) {
            RareParts sound = new RareParts(
                    List.of(OTHER_PART), random.nextInt(3), 0.02 + random.nextInt(4) * 0.03, Optional.empty());
            fleet.schedule(random.nextInt(8_000), () -> traffic.add(sound));
        }
        fleet.run(CALM_MILLIS, 1);
        PoisonHistory.interrupt(fleet, random, random.nextInt(12), 20_000);
        PoisonHistory.disturb(fleet, random, 25);
        traffic.stop();
        fleet.run(END_MILLIS, 0);
        return fleet;
    }

    private static PoisonFleet newFleet(int gateways) {
        return new PoisonFleet(gateways, PoisonHistory.ENGINES, 0, 5_201);
    }

    private static RareParts third(PoisonFleet fleet, int eventsBeforeCrash) {
        return new RareParts(List.of(PART), 2, SHARE, Optional.of(fleet.addPoisonPart(PART, eventsBeforeCrash)));
    }

    private static PromptTraffic run(PoisonFleet fleet, RareParts rare) {
        PromptTraffic traffic = new PromptTraffic(fleet, PER_SECOND, 5_202);
        traffic.start();
        fleet.run(CALM_MILLIS, 0);
        traffic.add(rare);
        for (long end = fleet.now() + RUN_MILLIS; fleet.now() < end && !isOutOfHand(rare); ) {
            fleet.run(500, 0);
        }
        traffic.stop();
        fleet.run(END_MILLIS, 0);
        return traffic;
    }

    /** Whether engines crash without end, so that the rest of a run would tell nothing more. */
    private static boolean isOutOfHand(RareParts rare) {
        return rare.poison().filter(poison -> poison.crashes() >= MANY_CRASHES).isPresent();
    }

    private static void assertHeldBack(PoisonFleet fleet, RareParts rare) {
        run(fleet, rare);
        Poison poison = rare.poison().get();
        assertTrue(poison.crashes() > 0, "no engine has crashed");
        assertTrue(
                before(fleet, poison).sent() >= ENOUGH && after(fleet, poison).sent() >= ENOUGH,
                figures(fleet, poison));
        assertRules(fleet);
        assertTrue(fleet.hasNoExceptions());
    }

    private static void assertRules(PoisonFleet fleet) {
        for (Poison poison : fleet.poisons()) {
            String figures = figures(fleet, poison);
            assertTrue(poison.lateArrivals() <= ALLOWED_SENDS, figures);
            Started before = before(fleet, poison);
            Started after = after(fleet, poison);
            boolean enough = before.sent() >= ENOUGH && after.sent() >= ENOUGH;
            assertTrue(!enough || after.share() >= before.share() / 2, figures);
            assertEquals(fleet.innocentsSetAside(), 0, figures);
        }
    }

    private static Started before(PoisonFleet fleet, Poison poison) {
        return fleet.innocents().startedWithin(0, poison.crashes() == 0 ? fleet.now() : poison.firstCrashMillis());
    }

    private static Started after(PoisonFleet fleet, Poison poison) {
        long from = poison.crashes() == 0 ? fleet.now() : poison.limitMillis() + 2 * PoisonFleet.STABLE_MILLIS;
        return fleet.innocents().startedWithin(from, fleet.now());
    }

    private static String figures(PoisonFleet fleet, Poison poison) {
        return "%s; streams begun before: %s, later: %s; others set aside: %d"
                .formatted(poison, before(fleet, poison), after(fleet, poison), fleet.innocentsSetAside());
    }
}
