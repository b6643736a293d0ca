package org.cornelramp.systemtests;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.cornelramp.bench.gateway.GatewaySoakCommand;
import org.cornelramp.bench.gateway.SoakSettings;
import org.testng.annotations.Test;

/** Runs gateways as separate processes under random faults: a short run, and the seeds that revealed a fault. */
public class GatewaySoakTest {

    /** A short run of a few gateways, with a seed that has shown no fault. */
    @Test
    public void aShortRunHasNoViolations() throws Exception {
        assertEquals(run(SoakSettings.of(1, 12, 4)), List.of());
    }

    /**
     * Guards against a cut stream that looks complete. A gateway that is shutting down accepts one more stream on a
     * connection that it will close, and is then killed with half of the gateways. The client received 18 of 20 events
     * and a normal end, because the response was delimited by the close of the connection instead of a last chunk.
     */
    @Test
    public void aStreamCutDuringShutdownIsNotReadAsComplete() throws Exception {
        assertEquals(run(SoakSettings.of(6, 25, 6)), List.of());
    }

    /** Servers that limit their rate, ask for rest and announce that they leave get no more than they have said. */
    @Test
    public void serversAreHeardThatSayWhatTheyTake() throws Exception {
        assertEquals(run(SoakSettings.of(43, 20, 4).withNotices(true)), List.of());
    }

    /** Requests that crash each server which runs them are held back by all gateways, and no other request is. */
    @Test
    public void requestsThatCrashServersAreHeldBack() throws Exception {
        assertEquals(run(SoakSettings.of(4921, 20, 4).withPoison(3, 0)), List.of());
    }

    /** The same where servers fail some of these requests instead, and the ports of crashed servers are held. */
    @Test(groups = "known-red")
    public void requestsThatServersAlsoFailAreHeldBackWherePortsAreHeld() throws Exception {
        assertEquals(run(SoakSettings.of(4923, 20, 4).withPoison(4, 0).withPoisonFailures(0.2, true)), List.of());
    }

    /** Streams that share a part of their prompt which crashes engines are held back, and no other stream is. */
    @Test
    public void streamsWithPartThatCrashesEnginesAreHeldBack() throws Exception {
        assertEquals(run(SoakSettings.of(8, 30, 4).withPoison(0, 1)), List.of());
    }

    /** Guards against events lost, repeated or reordered where clients resume streams at gateways that have just started. */
    @Test
    public void streamsAreResumedWithoutLossAfterDeathsOfAllGateways() throws Exception {
        assertEquals(run(SoakSettings.of(1, 20, 4).withResumeHeavy(true)), List.of());
    }

    private static List<String> run(SoakSettings settings) throws Exception {
        return GatewaySoakCommand.run(FleetActions.checkoutRoot(), settings).all();
    }
}
