package org.cornelramp.systemtests;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.cornelramp.bench.gateway.GatewaySoakCommand;
import org.testng.annotations.Test;

/** Gateways as processes of their own under random faults: a short run, and the seeds that ever showed a fault. */
public class GatewaySoakTest {

    /** A short run of a few gateways in which nothing has gone wrong so far. */
    @Test
    public void aShortRunKeepsEveryPromise() throws Exception {
        assertEquals(GatewaySoakCommand.run(Processes.home(), 1, 12, 4).all(), List.of());
    }

    /**
     * A gateway is told to stop and takes one more stream on a connection that it will close. Half of the gateways are
     * then killed, this one among them. The client saw 18 of 20 events and an ordinary end, since the close of the
     * connection ended the answer instead of a last chunk.
     */
    @Test
    public void aStreamThatIsCutDuringAStopDoesNotLookWhole() throws Exception {
        assertEquals(GatewaySoakCommand.run(Processes.home(), 6, 25, 6).all(), List.of());
    }
}
