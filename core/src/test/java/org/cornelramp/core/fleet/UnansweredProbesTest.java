package org.cornelramp.core.fleet;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.cornelramp.core.model.BackendServerId;
import org.testng.annotations.Test;

/** Whether silent servers are dead or this process is at fault. */
public class UnansweredProbesTest {
    private static BackendServerId server(int number) {
        return new BackendServerId("i-" + number);
    }

    /**
     * Guards against a gateway that takes all engines for dead and cuts its streams because its own link was saturated
     * for half a second, as under the load of a rolling release with 28 gateways, and none of twenty probes was
     * answered in time. Two silent servers count as dead; the others are probed again and count as dead if they do not
     * answer then either.
     */
    @Test
    public void manySilentServersAtOnceAreProbedAgain() {
        UnansweredProbes probes = new UnansweredProbes();
        assertFalse(probes.isLikelyLocalFault(server(0), false, 1_000));
        assertFalse(probes.isLikelyLocalFault(server(1), false, 1_010));
        for (int i = 2; i < 20; i++) {
            assertTrue(probes.isLikelyLocalFault(server(i), false, 1_010 + i));
        }
        assertFalse(probes.isLikelyLocalFault(server(7), false, 1_400));
    }

    /** Engines that die one after the other are each declared dead at once. */
    @Test
    public void singleFailuresAreAcceptedAtOnce() {
        UnansweredProbes probes = new UnansweredProbes();
        for (int i = 0; i < 10; i++) {
            assertFalse(probes.isLikelyLocalFault(server(i), false, 1_000 + i * UnansweredProbes.WINDOW_MILLIS));
        }
    }

    /**
     * Guards against a gateway with a tenth of a core that stalls for some hundred milliseconds, reads the answers of
     * running engines only after their timeout and takes the engines for dead, which would move all their streams. It
     * must probe again with a longer timeout instead.
     */
    @Test
    public void aDelayedProcessIgnoresAFirstSilence() {
        UnansweredProbes probes = new UnansweredProbes();
        for (int i = 0; i < 27; i++) {
            assertTrue(probes.isLikelyLocalFault(server(i), true, 1_000 + i * UnansweredProbes.WINDOW_MILLIS));
        }
    }

    /** An engine that dies while a gateway runs late is found by a second silence, or by a peer that has seen it fail. */
    @Test
    public void aDelayedProcessStillDetectsFailures() {
        UnansweredProbes probes = new UnansweredProbes();
        assertTrue(probes.isLikelyLocalFault(server(1), true, 1_000));
        assertFalse(probes.isLikelyLocalFault(server(1), true, 1_400));
        probes.reportedByPeer(server(2), 1_300);
        assertFalse(probes.isLikelyLocalFault(server(2), true, 1_450));
        assertTrue(probes.isLikelyLocalFault(server(2), true, 9_000), "the report of a peer has expired");
    }
}
