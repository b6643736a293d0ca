package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;

import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.PlatformFault;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a gateway takes for a crash of a backend server under its requests, and what it does not. */
public class CrashObserverTest {
    private static final String CRASHED = "\"event\":\"crashed\"";
    private static final Optional<PlatformFault> REFUSED =
            Optional.of(new PlatformFault(PlatformFault.Kind.NOT_LISTENING, "refused"));

    private final BackendServer engine = RouterSimulation.engine("a1", 11, 0, 8);
    private final BackendServer plain = TestServers.plain("p1", 31);
    private RouterSimulation router;

    @BeforeMethod
    public void start() {
        router = new RouterSimulation(StandInConfig.small(1), GatewayFixture.NO_RETRIES, 1);
        router.register(engine);
        router.register(plain);
    }

    private FakeHttpClient.Call send(String path, String id) {
        router.request(path, id);
        return router.calls().get(router.calls().size() - 1);
    }

    private void breakOff(FakeHttpClient.Call call) {
        call.fail(new EOFException("closed"));
        router.run(100);
    }

    private void assertCrashes(int expected) {
        assertEquals(router.exceptions(), 0);
        assertEquals(router.linesWith(CRASHED), expected);
    }

    /** Guards against crashes of engines that leave no trace in the log. */
    @Test
    public void engineThatDoesNotListenAfterABreakHasCrashed() {
        router.setReportFaults(server -> REFUSED);
        breakOff(send("/chat/a", "r1"));
        assertCrashes(1);
    }

    /** Guards against crashes of plain servers that show only when their registrations expire. */
    @Test
    public void plainServerThatDoesNotListenAfterABreakHasCrashed() {
        router.setReportFaults(server -> REFUSED);
        breakOff(send("/look/a", "r1"));
        assertCrashes(1);
    }

    /** Guards against a crash that is missed because another response, sent just before it, is handled just after it. */
    @Test
    public void responseThatIsHandledJustAfterABreakDoesNotHideTheCrash() {
        FakeHttpClient.Call broken = send("/book/a", "r1");
        FakeHttpClient.Call answered = send("/book/b", "r2");
        router.setReportFaults(server -> REFUSED);
        broken.fail(new EOFException("closed"));
        answered.complete(200, HeaderFixtures.answer("r2"));
        router.run(100);
        assertCrashes(1);
    }

    /** Guards against lost answers that count as crashes. */
    @Test
    public void serversThatAnswerAfterABreakHaveNotCrashed() {
        breakOff(send("/chat/a", "r1"));
        breakOff(send("/look/a", "r2"));
        router.unregister(engine);
        router.unregister(plain);
        router.run(1_000);
        assertCrashes(0);
    }

    /** Guards against engines whose crash is not seen because they had answered a question a moment before. */
    @Test
    public void engineThatHasJustAnsweredIsAskedAgainAfterABreak() {
        FakeHttpClient.Call first = send("/chat/a", "r1");
        FakeHttpClient.Call second = send("/chat/b", "r2");
        breakOff(first);
        router.setReportFaults(server -> REFUSED);
        breakOff(second);
        assertCrashes(1);
    }

    /** Guards against a server that has come back at its address and passes for the one that has crashed. */
    @Test
    public void anotherServerAtTheAddressDoesNotRefuteACrash() {
        router.setReportFaults(server -> Optional.of(new PlatformFault(PlatformFault.Kind.NO_ANSWER, "silent")));
        breakOff(send("/look/a", "r1"));
        router.run(1_200);
        router.setReportFaults(server -> Optional.empty());
        router.run(2_400);
        router.unregister(plain);
        router.tick();
        assertCrashes(1);
    }

    /** Guards against servers that leave as planned and count as crashed. */
    @Test
    public void serverThatWasLeavingHasNotCrashed() {
        FakeHttpClient.Call call = send("/look/a", "r1");
        router.register(plain.withState(ServerState.DRAINING));
        router.setReportFaults(server -> REFUSED);
        breakOff(call);
        router.unregister(plain);
        router.run(1_000);
        assertCrashes(0);
    }

    /** Guards against the gateway's own cancellations, and clients that leave, that count as crashes. */
    @Test
    public void cancelledRequestIsNoSignOfACrash() {
        FakeHttpClient.Call call = send("/look/a", "r1");
        router.setReportFaults(server -> REFUSED);
        router.run(3_100);
        call.fail(new IOException("aborted"));
        router.run(100);
        assertCrashes(0);
    }

    /** Guards against crashes that are missed because the server has come back at its address already. */
    @Test
    public void answerOfAnotherServerAtTheAddressShowsACrash() {
        FakeHttpClient.Call broken = send("/look/a", "r1");
        FakeHttpClient.Call misdirected = send("/look/b", "r2");
        router.setReportFaults(server -> Optional.of(new PlatformFault(PlatformFault.Kind.NO_ANSWER, "silent")));
        breakOff(broken);
        misdirected.complete(421, HeaderFixtures.answer("r2"));
        router.settle();
        assertCrashes(1);
    }

    private void holdPortOfPlainServer() {
        router.setReportFaults(
                server -> Optional.of(new PlatformFault(PlatformFault.Kind.NO_ANSWER, "closed without an answer")));
        router.setConnectFaults(server -> Optional.empty());
    }

    /** Guards against requests that are lost, one after the other, at a plain server that has ended while its port is held. */
    @Test
    public void plainServerThatHasEndedWhileItsPortIsHeldGetsNoRequests() {
        FakeHttpClient.Call broken = send("/book/a", "r1");
        holdPortOfPlainServer();
        breakOff(broken);
        router.run(400);
        int sent = router.calls().size();
        FakeClient refused = router.request("/book/a", "r2");
        assertEquals(refused.status(), 503);
        assertEquals(router.calls().size(), sent);
        assertCrashes(1);
    }

    /** Guards against a plain server that was wrongly thought to have ended and stays unused. */
    @Test
    public void plainServerThatGivesASignOfLifeIsUsedAgain() {
        FakeHttpClient.Call broken = send("/book/a", "r1");
        FakeHttpClient.Call running = send("/book/b", "r2");
        holdPortOfPlainServer();
        breakOff(broken);
        router.run(1_000);
        running.complete(200, HeaderFixtures.answer("r2"));
        router.settle();
        assertEquals(send("/book/a", "r3").port(), plain.address().port());
    }

    /** Guards against crashes that are missed because no question about the server is answered. */
    @Test
    public void lapsedRegistrationAfterABreakShowsACrash() {
        router.setReportFaults(server -> Optional.of(new PlatformFault(PlatformFault.Kind.NO_ANSWER, "silent")));
        breakOff(send("/look/a", "r1"));
        router.run(3_600);
        router.unregister(plain);
        router.tick();
        assertCrashes(1);
    }

    /** Guards against requests that are sent after a crash and count as having been at it. */
    @Test
    public void refusedConnectionIsNoCrashUnderItsRequest() {
        router.setReportFaults(server -> REFUSED);
        send("/look/a", "r1").fail(new ConnectException("Connection refused"));
        router.run(100);
        assertCrashes(0);
    }
}
