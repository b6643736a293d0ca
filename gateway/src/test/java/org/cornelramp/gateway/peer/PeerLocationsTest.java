package org.cornelramp.gateway.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cornelramp.core.model.DataCentre;
import org.testng.annotations.Test;

/** Load: 33 gateways of five data centres tell each other what they have under way on 130 engines. */
public class PeerPlacesTest {
    private static final DataCentre HOME = new DataCentre("dc1");

    /** Peers of the own data centre, whose streams go to the same engines, hear the loads at each turn. */
    @Test
    public void neighboursHearTheLoadsEachTime() {
        PeerPlaces<String> places = new PeerPlaces<>(HOME);
        places.heard("near", HOME);
        for (int turn = 0; turn < 10; turn++) {
            assertTrue(places.hearsLoads("near"));
            assertTrue(places.hearsLoads("new"), "one that has not told yet where it is");
        }
    }

    /** Others hear them at their first turn, and then at one in three, which spares two thirds of the bytes. */
    @Test
    public void farPeersHearTheLoadsAtOneTurnInThree() {
        PeerPlaces<String> places = new PeerPlaces<>(HOME);
        places.heard("far", new DataCentre("dc2"));
        assertTrue(places.hearsLoads("far"));
        int told = 1;
        for (int turn = 1; turn < 12; turn++) {
            told += places.hearsLoads("far") ? 1 : 0;
        }
        assertEquals(told, 4);
        places.retain(List.of());
        places.heard("far", new DataCentre("dc2"));
        assertTrue(places.hearsLoads("far"), "a peer that comes back hears them at once");
    }
}
