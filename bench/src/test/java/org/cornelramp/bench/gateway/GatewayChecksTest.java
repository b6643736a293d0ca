package org.cornelramp.bench.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelramp.bench.gateway.Disturbances.Target;
import org.cornelramp.bench.soak.Violations;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.platform.standin.ObservedRequest;
import org.cornelramp.platform.standin.StandInCaller;
import org.cornelramp.platform.standin.StandInConfig;
import org.cornelramp.platform.standin.StandInHop;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Each check of a run sees what it is there for: it is given a history that breaks its promise. */
public class GatewayChecksTest {
    private static final long SENT = 100_000;
    private static final long NEVER = Long.MAX_VALUE;
    private static final HostPort ENGINE = new HostPort("127.0.0.1", 9);
    private static final List<StandInHop> WHOLE_PATH = List.of(new StandInHop(ENGINE, 0, GatewayWorld.LAYERS));

    private Disturbances disturbances;

    @BeforeMethod
    public void calm() {
        disturbances = new Disturbances();
    }

    private static Call call(CallKind kind, int status, List<String> lines, boolean whole) {
        var answer = new StandInCaller.Answer(status, lines, whole, true, "");
        return new Call("r1", kind, 0, SENT, SENT + 100, NEVER, Optional.of(answer));
    }

    private static Call good(CallKind kind) {
        return call(kind, 200, kind.wholeAnswer("r1"), true);
    }

    private static ObservedRequest arrival(
            CallKind kind, boolean ran, List<StandInHop> hops, long millis, long leavingSince) {
        String service = kind == CallKind.CHAT ? StandInConfig.ENGINES : StandInConfig.PLAIN;
        return new ObservedRequest(
                "s1", service, "r1", StandInConfig.ORGANISATION, false, ran, hops, millis, leavingSince);
    }

    private static ObservedRequest ran(CallKind kind) {
        return arrival(kind, true, kind == CallKind.CHAT ? WHOLE_PATH : List.of(), SENT + 5, NEVER);
    }

    private List<String> check(Call call, ObservedRequest... arrivals) {
        Violations violations = new Violations();
        new GatewayChecks(List.of(call), List.of(arrivals), disturbances, violations).run();
        return violations.all();
    }

    private void assertBroken(String promise, Call call, ObservedRequest... arrivals) {
        List<String> broken = check(call, arrivals);
        assertTrue(broken.stream().anyMatch(one -> one.startsWith(promise + ": ")), promise + " not in " + broken);
    }

    @Test
    public void whatIsAsItShouldBeBreaksNothing() {
        for (CallKind kind : CallKind.values()) {
            assertEquals(check(good(kind), ran(kind)), List.of());
        }
        List<String> part = CallKind.CHAT.wholeAnswer("r1").subList(0, 7);
        assertEquals(check(call(CallKind.CHAT, 200, part, false), ran(CallKind.CHAT)), List.of());
    }

    @Test
    public void aPartThatLooksWholeAndAnAnswerToAnotherRequestAreSeen() {
        List<String> part = CallKind.CHAT.wholeAnswer("r1").subList(0, 54);
        assertBroken("whole", call(CallKind.CHAT, 200, part, true));
        assertBroken("whole", call(CallKind.LOOK, 200, CallKind.LOOK.wholeAnswer("r2"), true));
    }

    @Test
    public void aMissingAndARepeatedEventAreSeen() {
        List<String> missing = new ArrayList<>(CallKind.CHAT.wholeAnswer("r1").subList(0, 12));
        missing.subList(3, 6).clear();
        assertBroken("order", call(CallKind.CHAT, 200, missing, false));
        List<String> repeated = new ArrayList<>(CallKind.CHAT.wholeAnswer("r1").subList(0, 6));
        repeated.addAll(repeated.subList(3, 6));
        assertBroken("order", call(CallKind.CHAT, 200, repeated, false));
    }

    @Test
    public void aSecondRunAndARunAfterARefusalAreSeen() {
        assertBroken("twice", good(CallKind.BOOK), ran(CallKind.BOOK), ran(CallKind.BOOK));
        assertBroken("refused", call(CallKind.BOOK, 503, List.of(), true), ran(CallKind.BOOK));
        assertBroken("denied", call(CallKind.BOOK, 404, List.of(), true));
    }

    @Test
    public void aRefusalWithoutATimeToComeBackIsSeen() {
        var answer = new StandInCaller.Answer(503, List.of(), true, false, "");
        assertBroken("refused", new Call("r1", CallKind.LOOK, 0, SENT, SENT + 9, NEVER, Optional.of(answer)));
    }

    @Test
    public void aLayerThatIsLeftOutRunTwiceOrOutOfOrderIsSeen() {
        for (int[] ranges : new int[][] {{0, 9, 10, 24}, {0, 9, 8, 24}, {9, 24, 0, 9}, {0, 9, 9, 23}}) {
            List<StandInHop> hops =
                    List.of(new StandInHop(ENGINE, ranges[0], ranges[1]), new StandInHop(ENGINE, ranges[2], ranges[3]));
            assertBroken("layers", good(CallKind.CHAT), arrival(CallKind.CHAT, true, hops, SENT + 5, NEVER));
        }
    }

    @Test
    public void aForeignOrganisationAndAKeyThatIsPassedOnAreSeen() {
        assertBroken(
                "organisation",
                good(CallKind.LOOK),
                new ObservedRequest("s1", StandInConfig.PLAIN, "r1", "other", false, true, List.of(), SENT + 5, NEVER));
        assertBroken(
                "organisation",
                good(CallKind.LOOK),
                new ObservedRequest(
                        "s1",
                        StandInConfig.PLAIN,
                        "r1",
                        StandInConfig.ORGANISATION,
                        true,
                        true,
                        List.of(),
                        SENT,
                        NEVER));
    }

    @Test
    public void workForALeavingServerIsSeenUnlessTheStoreWasAway() {
        ObservedRequest late = arrival(CallKind.LOOK, true, List.of(), SENT + 5, SENT - GatewayWorld.DRAIN_MILLIS);
        assertBroken("drain", good(CallKind.LOOK), late);
        disturbances.begin(Target.STORE, Disturbances.ALL, SENT - 1_000);
        assertEquals(check(good(CallKind.LOOK), late), List.of());
    }

    @Test
    public void aRequestWithoutAFinalAnswerIsSeenUnlessItsGatewayStoodStill() {
        Call open = new Call("r1", CallKind.LOOK, 0, SENT, NEVER, NEVER, Optional.empty());
        assertBroken("answer", open);
        disturbances.begin(Target.PROCESS, 1, SENT);
        assertBroken("answer", open);
        disturbances.begin(Target.PROCESS, 0, SENT);
        assertEquals(check(open), List.of());
    }

    @Test
    public void workForAClientThatHasLeftIsSeen() {
        Call left = new Call("r1", CallKind.CHAT, 0, SENT, SENT + 50, SENT + 50, Optional.empty());
        assertBroken("left", left, ran(CallKind.CHAT));
    }

    @Test
    public void aCutByAPlannedStopIsSeenUnlessAServerFailedAsWell() {
        Call cut = call(CallKind.CHAT, 200, List.of(), false);
        disturbances.begin(Target.STOP, 0, SENT - 50);
        assertBroken("stop", cut, ran(CallKind.CHAT));
        disturbances.begin(Target.BACKEND, Disturbances.ALL, SENT);
        assertEquals(check(cut, ran(CallKind.CHAT)), List.of());
    }

    @Test
    public void tooManyRepeatsAreSeen() {
        ObservedRequest[] arrivals = new ObservedRequest[30];
        for (int i = 0; i < arrivals.length; i++) {
            arrivals[i] = arrival(CallKind.LOOK, false, List.of(), SENT + i, NEVER);
        }
        assertBroken("retries", good(CallKind.LOOK), arrivals);
    }
}
