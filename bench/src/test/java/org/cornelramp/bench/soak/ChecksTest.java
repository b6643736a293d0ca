package org.cornelramp.bench.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.cornelramp.bench.load.CallEnd;
import org.cornelramp.bench.load.Sample;
import org.testng.annotations.Test;

/** Each check of a run must report a history that violates its invariant. */
public class ChecksTest {

    @Test
    public void orderedStepsAcrossReplacementHaveNoViolations() {
        assertEquals(
                steps(step("e1", 1, 0, 5), step("e1", 1, 5, 1), step("e2", 2, 0, 6), step("e2", 2, 6, 1))
                        .all(),
                List.of());
    }

    @Test
    public void reportsRepeatedSkippedAndLateSteps() {
        assertTrue(isViolated("layers", steps(step("e1", 1, 0, 5), step("e1", 1, 4, 1))));
        assertTrue(isViolated("layers", steps(step("e1", 1, 0, 5), step("e1", 1, 6, 1))));
        assertTrue(isViolated("layers", steps(step("e1", 2, 0, 5), step("e1", 1, 5, 1))));
        assertTrue(isViolated("layers", steps(step("e1", 1, 0, 5), step("e1", 1, 0, 5))));
    }

    @Test
    public void reportsTwoEnginesUnderOneEpoch() {
        assertTrue(isViolated("layers", steps(step("e1", 1, 0, 5), step("e2", 1, 5, 1))));
    }

    @Test
    public void reportsSecondEffectAndEffectAfterNotRun() {
        assertTrue(isViolated("at-most-once", outcomes(CallEnd.IN_TIME, 2, List.of())));
        assertTrue(isViolated("not-run", outcomes(CallEnd.NOT_RUN, 1, List.of())));
        assertTrue(isViolated("answered", outcomes(CallEnd.IN_TIME, 0, List.of())));
        assertTrue(isViolated("whole-answer", outcomes(CallEnd.WRONG, 1, List.of())));
        assertEquals(outcomes(CallEnd.IN_TIME, 1, List.of()).all(), List.of());
    }

    @Test
    public void reportsUnknownOutcomeWithoutOverlappingCrash() {
        assertTrue(isViolated("unknown", outcomes(CallEnd.UNKNOWN, 0, List.of())));
        assertTrue(isViolated("unknown", outcomes(CallEnd.UNKNOWN, 0, List.of(injected(FaultKind.STOP_AGENT, 10)))));
        assertTrue(isViolated("unknown", outcomes(CallEnd.UNKNOWN, 0, List.of(injected(FaultKind.KILL_AGENT, 1_000)))));
        assertEquals(
                outcomes(CallEnd.UNKNOWN, 0, List.of(injected(FaultKind.KILL_AGENT, 10)))
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

    private static RanStep step(String incarnation, int epoch, int position, int count) {
        return new RanStep(incarnation, "s", epoch, 0, position, count);
    }

    private static Violations steps(RanStep... steps) {
        Violations violations = new Violations();
        StepCheck.check(List.of(steps), violations);
        return violations;
    }

    private static Violations outcomes(CallEnd end, int effects, List<FaultRunner.InjectedFault> injectedFaults) {
        RequestOutcomes outcomes = new RequestOutcomes();
        outcomes.countSent();
        outcomes.addBooking(new Booking("b", new Sample(0, 0, 0, 50_000_000_000L, end, 0, 1, "")));
        Violations violations = new Violations();
        new OutcomeCheck(effects == 0 ? Map.of() : Map.of("b", effects), injectedFaults, 0).check(outcomes, violations);
        return violations;
    }

    private static FaultRunner.InjectedFault injected(FaultKind kind, long atSeconds) {
        long at = atSeconds * 1_000_000_000L;
        return new FaultRunner.InjectedFault(new PlannedFault(kind, 0, 0, 1_000), "m", at, at + 1_000_000_000L);
    }

    private static boolean isViolated(String invariant, Violations violations) {
        return violations.all().stream().anyMatch(v -> v.startsWith(invariant + ": "));
    }
}
