package org.cornelramp.bench.gateway;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelramp.bench.gateway.FaultHistory.Target;
import org.cornelramp.bench.soak.Violations;
import org.cornelramp.platform.standin.ObservedRequest;
import org.cornelramp.platform.standin.StandInCaller;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Each check of parts that crash engines must report a history that violates its guarantee. */
public class PoisonChecksTest {
    private static final long FIFTH_CRASH = 100_000;
    private static final long RECOVERED = FIFTH_CRASH + 6_000;
    private static final int STREAMS = 20;

    private final List<Call> calls = new ArrayList<>();
    private final List<ObservedRequest> observed = new ArrayList<>();
    private FaultHistory faultHistory;

    @BeforeMethod
    public void reset() {
        calls.clear();
        observed.clear();
        faultHistory = new FaultHistory();
    }

    private void addCall(String id, long startMillis, int status, String line) {
        var answer = new StandInCaller.Answer(status, List.of(line), true, true, "");
        calls.add(new Call(id, CallKind.CHAT, 0, startMillis, startMillis + 100, Long.MAX_VALUE, Optional.of(answer)));
    }

    private void addSends(int count, long millis) {
        for (int i = 0; i < count; i++) {
            String id = PromptParts.poisonedId("r" + i, 0);
            addCall(id, millis, 502, "");
            observed.add(new ObservedRequest(
                    "s1",
                    StandInConfig.ENGINES,
                    id,
                    StandInConfig.ORGANISATION,
                    false,
                    true,
                    List.of(),
                    millis,
                    Long.MAX_VALUE));
        }
    }

    private void addOtherStreams(int served, long startMillis) {
        for (int i = 0; i < STREAMS; i++) {
            addCall("r" + startMillis + i, startMillis, i < served ? 200 : 503, "");
        }
    }

    private List<String> promisesBroken() {
        PoisonRecords poison = new PoisonRecords();
        for (int crash = 4; crash >= 0; crash--) {
            poison.recordCrash(PromptParts.poisonous(0), FIFTH_CRASH - crash * 1_000L);
        }
        Violations violations = new Violations();
        new PoisonChecks(calls, observed, poison, faultHistory, violations).run(0, 1);
        return violations.all().stream()
                .map(violation -> violation.substring(0, violation.indexOf(':')))
                .toList();
    }

    @Test
    public void reportsTooManySendsOfPartUnlessGatewayWasPaused() {
        addSends(3, FIFTH_CRASH + 3_001);
        assertEquals(promisesBroken(), List.of());
        reset();
        addSends(4, FIFTH_CRASH + 3_000);
        assertEquals(promisesBroken(), List.of());
        reset();
        addSends(4, FIFTH_CRASH + 3_001);
        assertEquals(promisesBroken(), List.of("poison"));
        faultHistory.end(faultHistory.begin(Target.PROCESS, 0, FIFTH_CRASH), FIFTH_CRASH + 10);
        assertEquals(promisesBroken(), List.of());
    }

    @Test
    public void reportsOtherStreamsThatAreServedLessThanHalfAsOften() {
        addOtherStreams(16, FIFTH_CRASH - 10_000);
        addOtherStreams(8, RECOVERED);
        assertEquals(promisesBroken(), List.of());
        reset();
        addOtherStreams(16, FIFTH_CRASH - 10_000);
        addOtherStreams(7, RECOVERED);
        assertEquals(promisesBroken(), List.of("lost"));
    }

    @Test
    public void reportsRefusalForCrashesOfRequestWithoutThePart() {
        String refusal = "Backend servers crashed while they ran this request; do not send it again unchanged.";
        addCall(PromptParts.poisonedId("r1", 0), FIFTH_CRASH, 503, refusal);
        assertEquals(promisesBroken(), List.of());
        addCall("r2", FIFTH_CRASH, 503, refusal);
        assertEquals(promisesBroken(), List.of("innocent"));
    }
}
