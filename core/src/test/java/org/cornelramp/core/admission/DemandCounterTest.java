package org.cornelramp.core.admission;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.admission.DemandCounter.RequestInProgress;
import org.cornelramp.core.admission.DemandReport.ServiceDemand;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.testng.annotations.Test;

/** Bounds of a report on a gateway with more priorities, organisations and servers than it can name. */
public class DemandCounterTest {
    private static final ServiceName SERVICE = new ServiceName("llm");
    private static final DataCentre HERE = new DataCentre("dc1");
    private static final int NAMES = 100;

    private static DemandReport reportOfMany(long nowMillis) {
        DemandCounter counter = new DemandCounter();
        List<RequestInProgress> requests = new ArrayList<>();
        for (int i = 0; i < NAMES; i++) {
            counter.recordArrival(SERVICE, i % 10, nowMillis);
            for (int j = 0; j <= i; j++) {
                requests.add(new RequestInProgress(
                        SERVICE,
                        i % 10,
                        Optional.of(new OrganisationId("o" + i)),
                        j == 0,
                        j * 80L,
                        Optional.of(new BackendServerId("s" + i))));
            }
        }
        return counter.report(requests, nowMillis);
    }

    /** Guards against demand that is lost, or counts as less urgent than it is, because a report has too few rows. */
    @Test
    public void rowsAreBoundedAndNoDemandIsLost() {
        ServiceDemand demand = reportOfMany(5).services().get(0);
        assertEquals(demand.priorities().size(), DemandReport.MAX_PRIORITIES);
        assertEquals(demand.priorities().get(0).arrivalsPerSecond(), 10.0);
        int last = DemandReport.MAX_PRIORITIES - 1;
        assertEquals(demand.priorities().get(last).arrivalsPerSecond(), 10.0 * (10 - last));
        assertEquals(demand.priorities().stream().mapToInt(row -> row.waiting()).sum(), NAMES);
        assertEquals(demand.tokenLayers().size(), DemandReport.MAX_ORGANISATIONS);
        assertEquals(
                demand.tokenLayers().get(NameHash.of(new OrganisationId("o99"))),
                Long.valueOf(80L * 99 * 100 / 2),
                "the organisations that use most");
        assertEquals(reportOfMany(5).plainInFlight().size(), DemandReport.MAX_PLAIN_SERVERS);
        assertEquals(
                reportOfMany(5).plainInFlight().get(NameHash.of(new BackendServerId("s99"))), Integer.valueOf(100));
    }

    /** Guards against totals that keep a part of reports that were replaced or removed. */
    @Test
    public void removedReportsLeaveNothingInTheTotals() {
        FleetDemand demand = new FleetDemand();
        demand.updatePeer("g2", HERE, reportOfMany(5), 50, 10);
        demand.updatePeer("g2", HERE, reportOfMany(5), 100, 20);
        demand.updateOwn(reportOfMany(5), HERE, 30);
        assertEquals(demand.arrivalsPerSecond(SERVICE, 1), 20.0);
        assertEquals(demand.oldestAgeMillis(50), 30);
        OrganisationId most = new OrganisationId("o99");
        assertEquals(demand.peersInUse(SERVICE, most), demand.inUse(SERVICE, most) / 2, "the own use is left out");
        demand.removeSilentPeers(0, 121);
        assertEquals(demand.arrivalsPerSecond(SERVICE, HERE), 100.0);
        demand.removeOwn();
        assertEquals(demand.arrivalsPerSecond(SERVICE, 10), 0.0);
        assertEquals(demand.arrivalsPerSecond(SERVICE, HERE), 0.0);
        assertEquals(demand.inUse(SERVICE, new OrganisationId("o99")), 0);
        assertEquals(demand.plainInFlight(new BackendServerId("s99")), 0);
    }

    /** Guards against details that are lost with a report without them, or that outlast their peer or their time. */
    @Test
    public void detailsCountUntilTheNextOnes() {
        FleetDemand demand = new FleetDemand();
        OrganisationId organisation = new OrganisationId("o99");
        DemandReport detailed = reportOfMany(5);
        long inUse = detailed.services().get(0).tokenLayers().get(NameHash.of(organisation));
        for (long now = 10; now <= 300; now += 10) {
            demand.updatePeer("g2", HERE, now == 10 ? detailed : detailed.withoutDetails(), 50, now);
            demand.removeSilentPeers(0, now);
            assertEquals(demand.arrivalsPerSecond(SERVICE, HERE), 100.0);
            boolean counts = now <= 10 + DemandReport.REPORTS_PER_DETAILS * 50;
            assertEquals(demand.inUse(SERVICE, organisation), counts ? inUse : 0, "at " + now);
        }
        demand.updatePeer("g2", HERE, detailed, 50, 310);
        demand.removeSilentPeers(0, 361);
        assertEquals(demand.inUse(SERVICE, organisation), 0, "the peer is silent");
        assertEquals(demand.oldestDetailsAgeMillis(361), 0);
    }

    /** Guards against names with the same hash whose demand is lost, or that no operator learns of. */
    @Test
    public void namesWithTheSameHashAreFoundAndSummed() {
        Map<NameHash, String> names = new HashMap<>();
        String name = "";
        String other = null;
        for (int i = 0; other == null; i++) {
            name = "service-" + i * 7_919L;
            other = names.put(NameHash.of(name), name);
        }
        DemandCounter counter = new DemandCounter();
        counter.recordArrival(new ServiceName(name), 1, 5);
        counter.recordArrival(new ServiceName(other), 1, 5);
        DemandReport report = counter.report(List.of(), 5);
        assertEquals(report.services().size(), 1);
        assertEquals(report.service(new ServiceName(name)).get().arrivalsPerSecond(), 2.0);
        assertEquals(counter.takeCollisions().size(), 1);
        counter.report(List.of(), 6);
        assertEquals(counter.takeCollisions(), List.of(), "each is reported once");
    }
}
