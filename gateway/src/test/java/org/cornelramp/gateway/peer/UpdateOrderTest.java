package org.cornelramp.gateway.peer;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import java.util.Set;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.testng.annotations.Test;

/** Updates of peers that arrive late, twice, or from a process that has just started. */
public class UpdateOrderTest {
    private static PeerUpdate update(String name, long incarnation, long number) {
        PeerUpdate.Sender sender = new PeerUpdate.Sender(name, incarnation, new DataCentre("dc1"));
        return PeerUpdate.of(sender, number, false, Map.of(), 0, Map.of(), Set.of(), RetryLoanUpdate.NONE);
    }

    /** Guards against a gateway that has just started and waits for its turn to hear what its peers refuse. */
    @Test
    public void firstUpdateOfEachProcessIsTold() {
        UpdateOrder order = new UpdateOrder();
        assertEquals(order.place(update("g1", 7, 3)), UpdateOrder.Place.FIRST);
        assertEquals(order.place(update("g2", 7, 1)), UpdateOrder.Place.FIRST);
        assertEquals(order.place(update("g1", 7, 4)), UpdateOrder.Place.NEWER);
        assertEquals(order.place(update("g1", 8, 1)), UpdateOrder.Place.FIRST);
    }

    /** Guards against an older state of a peer that a late datagram puts in force again. */
    @Test
    public void lateAndRepeatedUpdatesAreOutdated() {
        UpdateOrder order = new UpdateOrder();
        order.place(update("g1", 7, 4));
        assertEquals(order.place(update("g1", 7, 4)), UpdateOrder.Place.OUTDATED);
        assertEquals(order.place(update("g1", 7, 3)), UpdateOrder.Place.OUTDATED);
        assertEquals(order.place(update("g1", 7, 5)), UpdateOrder.Place.NEWER);
    }
}
