package org.cornelramp.bench.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.cornelramp.bench.load.CallEnd;
import org.cornelramp.bench.load.Sample;
import org.testng.annotations.Test;

/** The checks of a run see what they are there for: each is given a history that breaks its invariant. */
public class ChecksTest {

    @Test
    public void stepsInOrderOverAReplacementBreakNothing() {
        assertEquals(
                steps(step("e1", 1, 0, 5), step("e1", 1, 5, 1), step("e2", 2, 0, 6), step("e2", 2, 6, 1))
                        .all(),
                List.of());
    }

    @Test
    public void aRepeatedASkippedAndALateStepAreSeen() {
        assertTrue(broken("layers", steps(step("e1", 1, 0, 5), step("e1", 1, 4, 1))));
        assertTrue(broken("layers", steps(step("e1", 1, 0, 5), step("e1", 1, 6, 1))));
        assertTrue(broken("layers", steps(step("e1", 2, 0, 5), step("e1", 1, 5, 1))));
        assertTrue(broken("layers", steps(step("e1", 1, 0, 5), step("e1", 1, 0, 5))));
    }

    @Test
    public void twoEnginesUnderOneEpochAreSeen() {
        assertTrue(broken("layers", steps(step("e1", 1, 0, 5), step("e2", 1, 5, 1))));
    }

    @Test
    public void aSecondEffectAndAnEffectAfterNotRunAreSeen() {
        assertTrue(broken("at-most-once", outcomes(CallEnd.IN_TIME, 2, List.of())));
        assertTrue(broken("not-run", outcomes(CallEnd.NOT_RUN, 1, List.of())));
        assertTrue(broken("answered", outcomes(CallEnd.IN_TIME, 0, List.of())));
        assertTrue(broken("whole-answer", outcomes(CallEnd.WRONG, 1, List.of())));
        assertEquals(outcomes(CallEnd.IN_TIME, 1, List.of()).all(), List.of());
    }

    @Test
    public void anUnknownOutcomeNeedsACrashWhileTheRequestWasUnderWay() {
        assertTrue(broken("unknown", outcomes(CallEnd.UNKNOWN, 0, List.of())));
        assertTrue(broken("unknown", outcomes(CallEnd.UNKNOWN, 0, List.of(struck(FaultKind.STOP_AGENT, 10)))));
        assertTrue(broken("unknown", outcomes(CallEnd.UNKNOWN, 0, List.of(struck(FaultKind.KILL_AGENT, 1_000)))));
        assertEquals(
                outcomes(CallEnd.UNKNOWN, 0, List.of(struck(FaultKind.KILL_AGENT, 10)))
                        .all(),
                List.of());
    }

    @Test
    public void theSameSeedDrawsTheSameFaults() {
        Map<FaultKind.Target, Integer> members = Map.of(
                FaultKind.Target.AGENT, 8,
                FaultKind.Target.ENTRY, 2,
                FaultKind.Target.LOG, 1,
                FaultKind.Target.VM_LIST, 1,
                FaultKind.Target.TABLE, 1);
        List<PlannedFault> faults = FaultSchedule.draw(7, 60, members).faults();
        assertEquals(FaultSchedule.draw(7, 60, members).faults(), faults);
        assertTrue(faults.size() > 20, "faults " + faults.size());
    }

    private static RanStep step(String life, int epoch, int position, int count) {
        return new RanStep(life, "s", epoch, 0, position, count);
    }

    private static Violations steps(RanStep... steps) {
        Violations violations = new Violations();
        StepCheck.check(List.of(steps), violations);
        return violations;
    }

    private static Violations outcomes(CallEnd end, int effects, List<FaultRunner.Struck> struck) {
        Ledger ledger = new Ledger();
        ledger.sent();
        ledger.booked(new Booking("b", new Sample(0, 0, 0, 50_000_000_000L, end, 0, 1, "")));
        Violations violations = new Violations();
        new OutcomeCheck(effects == 0 ? Map.of() : Map.of("b", effects), struck, 0).check(ledger, violations);
        return violations;
    }

    private static FaultRunner.Struck struck(FaultKind kind, long atSeconds) {
        long at = atSeconds * 1_000_000_000L;
        return new FaultRunner.Struck(new PlannedFault(kind, 0, 0, 1_000), "m", at, at + 1_000_000_000L);
    }

    private static boolean broken(String invariant, Violations violations) {
        return violations.all().stream().anyMatch(v -> v.startsWith(invariant + ": "));
    }
}
