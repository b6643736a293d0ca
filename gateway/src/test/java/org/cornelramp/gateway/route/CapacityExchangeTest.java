package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.cornelramp.core.member.GatewayStatus;
import org.cornelramp.core.model.DataCentre;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which gateways report their capacity and load to each other. */
public class CapacityExchangeTest {
    private static final DataCentre HERE = new DataCentre("dc1");
    private static final double SMALL_CORES = 0.25;

    private FleetState fleet;
    private CapacityExchange exchange;

    @BeforeMethod
    public void create() {
        fleet = new FleetState("g1", 1_200);
        exchange = new CapacityExchange(HERE);
    }

    private void setOwnCores(double cores) {
        exchange.setOwnStatus(() -> new GatewayStatus(cores, 0.5, true), SMALL_CORES);
        exchange.refresh(fleet, 1_000);
    }

    private void receive(String name, double cores) {
        fleet.gatewayStatuses().update(name, HERE, new GatewayStatus(cores, 0.1, true), 1_000, 1_000);
    }

    /** Guards against a change for fleets without small gateways: their updates stay as they are. */
    @Test
    public void largeGatewaysDoNotReport() {
        setOwnCores(0.27);
        assertFalse(fleet.reportsDemand());
        receive("g2", 1.5);
        exchange.refresh(fleet, 1_000);
        assertFalse(fleet.reportsDemand(), "two large gateways would keep each other's reports alive");
    }

    /** Guards against small gateways that find no larger one because those do not report. */
    @Test
    public void largeGatewayReportsToASmallOne() {
        setOwnCores(1.5);
        receive("g2", 0.189);
        exchange.refresh(fleet, 1_200);
        assertTrue(fleet.ownStatus().isPresent());
        assertEquals(exchange.peers().get(0).ageMillis(), 200);
    }
}
