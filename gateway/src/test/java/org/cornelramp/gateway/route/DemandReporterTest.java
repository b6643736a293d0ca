package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.admission.DemandReport;
import org.cornelramp.core.admission.DemandReport.ServiceDemand;
import org.cornelramp.core.admission.FleetDemand;
import org.cornelramp.core.admission.NameHash;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.member.GatewayStatus;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.path.PrefixSketch;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.gateway.peer.DemandSection;
import org.cornelramp.gateway.peer.PeerRotation;
import org.cornelramp.gateway.peer.PeerUpdate;
import org.cornelramp.platform.standin.StandInConfig;
import org.eclipse.jetty.http.HttpFields;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a router counts of its own demand, sends to its peers and takes from their updates. */
public class DemandReporterTest {
    private static final ServiceName ENGINES = new ServiceName(StandInConfig.ENGINES);
    private static final ServiceName PLAIN = new ServiceName(StandInConfig.PLAIN);
    private static final DataCentre ELSEWHERE = new DataCentre("dc2");
    private static final GatewayStatus STATUS = new GatewayStatus(1.5, 0.5, true);

    private final BackendServer engine = RouterSimulation.engine("a1", 11, 0, 8);
    private final BackendServer plain = TestServers.plain("p1", 12);
    private RouterSimulation router;
    private FleetDemand demand;
    private long number;

    @BeforeMethod
    public void start() {
        router = new RouterSimulation(StandInConfig.small(1), "", 1);
        demand = router.fleet().demand();
        router.register(engine);
        router.register(plain);
        number = 0;
    }

    private void receive(DemandSection section) {
        PeerUpdate.Sender peer = new PeerUpdate.Sender("g2", 1, ELSEWHERE);
        router.handle(new RouterEvent.PeerUpdateReceived(
                PeerUpdate.of(peer, ++number, false, Map.of(), 0, Map.of(), Set.of(), RetryLoanUpdate.NONE)
                        .withDemandSection(section)));
    }

    private ServiceDemand reported(ServiceName service) {
        return router.peerUpdate()
                .demandSection()
                .report()
                .flatMap(report -> report.service(service))
                .get();
    }

    private void reportDemand() {
        router.publish(PlainSlotWaitTest.withPriorities(2));
        router.tick();
    }

    @Test
    public void requestsAreReported() {
        reportDemand();
        router.request("/chat/a", "stream");
        router.request("/look/a", "one");
        router.request("/look/a", "two");
        router.run(100);
        int priority = 11; // that of the route, 1, as the organisation has none
        DemandReport.PriorityDemand row = reported(ENGINES).priorities().get(0);
        assertEquals(row.priority(), priority);
        assertEquals(row.arrivalsPerSecond(), 1, 0.2);
        assertEquals(row.waiting(), 0);
        assertTrue(row.tokenLayers() > 0 && row.tokenLayers() % 8 == 0, "token-layers " + row.tokenLayers());
        assertEquals(demand.inUse(ENGINES, priority), row.tokenLayers());
        assertEquals(reported(PLAIN).priorities().get(0).arrivalsPerSecond(), 2, 0.3);
        assertEquals(demand.plainInFlight(plain.id()), 2);
        assertEquals(demand.peersPlainInFlight(plain.id()), 0);
        router.calls().get(1).complete(200, HttpFields.EMPTY);
        router.run(100);
        assertEquals(demand.plainInFlight(plain.id()), 1);
    }

    /** Guards against refusals that peers do not learn of. */
    @Test
    public void refusalIsReported() {
        reportDemand();
        router.unregister(plain);
        router.request("/look/a", "refused");
        router.run(100);
        assertEquals(reported(PLAIN).priorities().get(0).refusedPerSecond(), 1, 0.2);
        assertEquals(router.activeRequests(), 0);
    }

    /** Guards against updates that older gateways do not read, and against work, where no function needs reports. */
    @Test
    public void nothingIsReportedUnlessAUseIsOn() {
        router.capacity().setOwnStatus(() -> STATUS, 0.25);
        router.request("/chat/a", "stream");
        router.run(100);
        assertEquals(router.peerUpdate().demandSection(), DemandSection.NONE);
        assertEquals(demand.arrivalsPerSecond(ENGINES, Integer.MAX_VALUE), 0.0);
        router.capacity().setOwnStatus(() -> STATUS, 2);
        router.run(100);
        assertEquals(router.peerUpdate().demandSection().status(), Optional.of(STATUS));
        router.capacity().setOwnStatus(() -> STATUS, 0.25);
        router.run(100);
        assertEquals(router.peerUpdate().demandSection(), DemandSection.NONE);
        assertEquals(demand.oldestAgeMillis(router.now()), 0);
    }

    /** Guards against demand that counts after its gateway has died, or has ceased to report it. */
    @Test
    public void silentPeerIsLeftOut() {
        DemandReport report = new DemandReport(
                List.of(new ServiceDemand(
                        NameHash.of(ENGINES),
                        List.of(new DemandReport.PriorityDemand(0, 12.5, 3, 800, 0.5)),
                        Map.of())),
                Map.of(NameHash.of(plain.id()), 4));
        DemandSection section = new DemandSection(Optional.of(report), 1, Optional.of(STATUS));
        receive(section);
        router.run(200);
        assertEquals(demand.arrivalsPerSecond(ENGINES, 1), 12.5);
        assertEquals(demand.arrivalsPerSecond(ENGINES, 0), 0.0);
        assertEquals(demand.arrivalsPerSecond(ENGINES, ELSEWHERE), 12.5);
        assertEquals(demand.waiting(ENGINES, 0), 3);
        assertEquals(demand.peersPlainInFlight(plain.id()), 4);
        assertEquals(demand.oldestAgeMillis(router.now()), 200);
        assertEquals(
                router.fleet()
                        .gatewayStatuses()
                        .inDataCentre(ELSEWHERE, router.now())
                        .get(0)
                        .status(),
                STATUS);
        receive(DemandSection.NONE);
        assertEquals(demand.waiting(ENGINES, 0), 0);
        assertEquals(router.fleet().gatewayStatuses().status("g2"), Optional.empty());
        receive(section);
        router.run(PeerRotation.silenceMillis(1) + 100);
        assertEquals(demand.peerCount(), 0);
        assertEquals(demand.arrivalsPerSecond(ENGINES, 1), 0.0);
        assertEquals(router.fleet().gatewayStatuses().all().size(), 0);
    }

    /**
     * Guards against demand that is lost between two reports of a peer, because the updates between them omit it, and
     * against demand that counts longer because of such updates.
     */
    @Test
    public void demandCountsBetweenTwoReports() {
        DemandReport report = new DemandReport(
                List.of(new ServiceDemand(
                        NameHash.of(ENGINES),
                        List.of(new DemandReport.PriorityDemand(0, 12.5, 3, 800, 0.5)),
                        Map.of())),
                Map.of());
        DemandSection omitted = new DemandSection(Optional.empty(), 0, Optional.empty(), PrefixSketch.EMPTY, true);
        receive(omitted);
        assertEquals(demand.peerCount(), 0);
        receive(new DemandSection(Optional.of(report), 1, Optional.of(STATUS)));
        router.run(200);
        receive(omitted);
        assertEquals(demand.waiting(ENGINES, 0), 3);
        assertEquals(router.fleet().gatewayStatuses().status("g2"), Optional.of(STATUS));
        assertEquals(demand.oldestAgeMillis(router.now()), 200);
        DemandReport recent = new DemandReport(
                List.of(new ServiceDemand(
                        NameHash.of(ENGINES), List.of(new DemandReport.PriorityDemand(0, 2, 1, 0, 0)), Map.of())),
                Map.of(),
                false);
        receive(new DemandSection(Optional.of(recent), 1, Optional.of(STATUS)));
        assertEquals(demand.waiting(ENGINES, 0), 1);
        assertEquals(demand.inUse(ENGINES, 0), 800, "details count until the next ones");
        assertEquals(demand.oldestDetailsAgeMillis(router.now()), 200);
        router.run(500);
        receive(omitted);
        router.run(PeerRotation.silenceMillis(1) - 400);
        assertEquals(demand.peerCount(), 0);
        assertEquals(demand.inUse(ENGINES, 0), 0);
        assertEquals(router.fleet().gatewayStatuses().all().size(), 0);
    }
}
