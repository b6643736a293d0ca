package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.cornelramp.core.fleet.BackendServer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** When an engine that has answered is probed again. */
public class ProbePauseTest {
    private static final long ANSWERED_MILLIS = 10_000;

    private final BackendServer engine = RouterSimulation.engine("a1", 11, 0, 4);
    private final List<Runnable> calls = new ArrayList<>();
    private AsyncEngineControl control;

    @BeforeMethod
    public void answer() {
        calls.clear();
        control = new AsyncEngineControl(null, calls::add, calls::add);
        control.recordAnswer(engine.id(), ANSWERED_MILLIS);
    }

    /** Each probe consists of two calls. */
    private int probesAt(long silentSinceMillis, long now) {
        int before = calls.size();
        control.probe(engine, event -> {}, 0, silentSinceMillis, now);
        return (calls.size() - before) / 2;
    }

    /**
     * Guards against a dead engine that is detected a second late because it has answered a probe just before it died.
     */
    @Test
    public void engineThatFallsSilentAfterItsAnswerIsProbedSoon() {
        assertEquals(probesAt(ANSWERED_MILLIS + 50, ANSWERED_MILLIS + 260), 1);
    }

    /** Guards against four probes a second of each live engine whose streams wait for another engine. */
    @Test
    public void engineThatWasSilentBeforeItsAnswerIsNotProbedAgain() {
        assertEquals(probesAt(ANSWERED_MILLIS - 50, ANSWERED_MILLIS + 260), 0);
        assertEquals(probesAt(ANSWERED_MILLIS - 50, ANSWERED_MILLIS + 990), 0);
        assertEquals(probesAt(ANSWERED_MILLIS - 50, ANSWERED_MILLIS + 1_000), 1);
    }

    /** Guards against a flood of probes of an engine whose streams fall silent again and again. */
    @Test
    public void probesArePausedAfterEachProbeAndEachAnswer() {
        assertEquals(probesAt(ANSWERED_MILLIS + 50, ANSWERED_MILLIS + 240), 0);
        assertEquals(probesAt(ANSWERED_MILLIS + 50, ANSWERED_MILLIS + 250), 1);
        assertEquals(probesAt(ANSWERED_MILLIS + 50, ANSWERED_MILLIS + 490), 0);
        assertEquals(probesAt(ANSWERED_MILLIS + 50, ANSWERED_MILLIS + 500), 1);
    }
}
