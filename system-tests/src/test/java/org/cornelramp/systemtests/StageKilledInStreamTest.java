package org.cornelramp.systemtests;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.fleet.Member;
import org.cornelramp.bench.load.CallEnd;
import org.cornelramp.bench.load.Callers;
import org.cornelramp.bench.load.ChatCall;
import org.cornelramp.bench.load.ExpectedText;
import org.cornelramp.bench.load.Sample;
import org.cornelramp.bench.soak.StepCheck;
import org.cornelramp.bench.soak.TraceReader;
import org.cornelramp.bench.soak.Violations;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * The VM of a stage fails while streams use it: its agent and its engine are killed, and the KV cache is lost.
 *
 * <p>Another engine with the same layers replaces it under a new epoch and rebuilds the KV cache from the inputs that
 * the preceding stage kept. Every caller gets one complete stream, equal to a run without faults, and the other stages
 * repeat no step.
 */
public class StageKilledInStreamTest {
    private static final int STREAMS = 12;

    private Fleet fleet;

    @BeforeClass
    public void start() {
        fleet = Fleet.start(
                FleetActions.checkoutRoot(),
                FleetPlan.small().withServices(0, 10).withTraceFiles());
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @Test
    public void everyStreamIsWholeAndEqual() {
        List<Sample> samples = new ArrayList<>();
        List<String> urls = fleet.entries().stream().map(Member::url).toList();
        try (Callers callers = new Callers(urls, Fleet::callerKey, new ExpectedText(FleetActions.layers()))) {
            for (int i = 0; i < STREAMS; i++) {
                ChatCall call = new ChatCall(0, i % 2, "stream " + i, 200, 30_000);
                callers.chat(call, System.nanoTime(), sample -> add(samples, sample));
            }
            Member second = fleet.stages().get(1);
            Fleet.await("the stage runs steps of the streams", FleetActions.AWAIT_TIMEOUT, () -> ran(second) > 200);
            second.daemon().kill();
            second.backend().orElseThrow().kill();
            Fleet.await("every stream has ended", FleetActions.AWAIT_TIMEOUT, () -> size(samples) == STREAMS);
        }
        samples.forEach(s -> assertEquals(s.end(), CallEnd.IN_TIME, s.toString()));
        Violations violations = new Violations();
        StepCheck.check(TraceReader.steps(fleet), violations);
        assertEquals(violations.all(), List.of());
        assertTrue(TraceReader.steps(fleet).stream().anyMatch(s -> s.epoch() > 1), "no stage was replaced");
    }

    private int ran(Member stage) {
        return fleet.trace(stage.backendUrl()).size();
    }

    private static void add(List<Sample> samples, Sample sample) {
        synchronized (samples) {
            samples.add(sample);
        }
    }

    private static int size(List<Sample> samples) {
        synchronized (samples) {
            return samples.size();
        }
    }
}
