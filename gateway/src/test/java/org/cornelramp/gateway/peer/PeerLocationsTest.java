package org.cornelramp.gateway.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cornelramp.core.model.DataCentre;
import org.testng.annotations.Test;

/** Which peers get the loads; sized after 33 gateways in five data centres with 130 engines. */
public class PeerLocationsTest {
    private static final DataCentre HOME = new DataCentre("dc1");

    /** Peers in the same data centre send their streams to the same engines, so they get the loads in each update. */
    @Test
    public void localPeersGetTheLoadsInEachUpdate() {
        PeerLocations<String> locations = new PeerLocations<>(HOME);
        locations.setLocation("near", HOME);
        for (int update = 0; update < 10; update++) {
            assertTrue(locations.needsLoads("near"));
            assertTrue(locations.needsLoads("new"), "a peer of unknown location");
        }
    }

    /** Other peers get the loads in the first update and then in one of three, which saves two thirds of the bytes. */
    @Test
    public void remotePeersGetTheLoadsInOneOfThreeUpdates() {
        PeerLocations<String> locations = new PeerLocations<>(HOME);
        locations.setLocation("far", new DataCentre("dc2"));
        assertTrue(locations.needsLoads("far"));
        int updatesWithLoads = 1;
        for (int update = 1; update < 12; update++) {
            updatesWithLoads += locations.needsLoads("far") ? 1 : 0;
        }
        assertEquals(updatesWithLoads, 4);
        locations.retain(List.of());
        locations.setLocation("far", new DataCentre("dc2"));
        assertTrue(locations.needsLoads("far"), "a peer that returns gets them at once");
    }
}
