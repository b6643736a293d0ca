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
 * The VM of a stage dies while streams run over it: its agent and its engine, with the KV cache.
 *
 * <p>Another engine with the same layers takes its place under a new epoch and is rebuilt from the inputs that the
 * stage before it kept. Every caller sees one stream, whole and equal to an undisturbed run; the other stages run
 * nothing again.
 */
public class StageKilledInStreamTest {
    private static final int STREAMS = 12;

    private Fleet fleet;

    @BeforeClass
    public void start() {
        fleet = Fleet.start(
                Processes.home(), FleetPlan.small().withServices(0, 10).withTraceFiles());
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
        try (Callers callers = new Callers(urls, Fleet::callerKey, new ExpectedText(Processes.layers()))) {
            for (int i = 0; i < STREAMS; i++) {
                ChatCall call = new ChatCall(0, i % 2, "stream " + i, 200, 30_000);
                callers.chat(call, System.nanoTime(), sample -> add(samples, sample));
            }
            Member second = fleet.stages().get(1);
            Fleet.await("streams run over the stage", Processes.LIMIT, () -> ran(second) > 200);
            second.daemon().kill();
            second.backend().orElseThrow().kill();
            Fleet.await("every final word", Processes.LIMIT, () -> size(samples) == STREAMS);
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
