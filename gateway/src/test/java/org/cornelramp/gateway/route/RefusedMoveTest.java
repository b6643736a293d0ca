package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.MoveFault;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.Test;

/** Streams that cannot be moved off an engine that is shutting down, with every event in a fixed order. */
public class RefusedMoveTest {
    /** Guards against started streams that are closed because an engine refuses to move them while no retry is left. */
    @Test
    public void refusedMoveLeavesTheStreamOnItsEngine() {
        RouterSimulation router =
                new RouterSimulation(StandInConfig.small(1).withCardMb(45), GatewayFixture.NO_RETRIES, 1);
        BackendServer leaving = RouterSimulation.engine("b1", 21, 4, 8);
        router.register(RouterSimulation.engine("a1", 11, 0, 4));
        router.register(leaving);
        FakeClient client = router.request("/chat/a", "r1");
        FakeHttpClient.Call call = router.calls().get(0);
        call.events("r1", "id: 0\ndata: x\n\n");
        router.setRepathAnswer(order -> Either.left(new MoveFault(MoveAnswers.CONFLICT, Optional.empty())));
        router.register(RouterSimulation.engine("b2", 22, 4, 8));
        router.register(leaving.withState(ServerState.DRAINING));
        router.run(2_000);
        assertTrue(router.repathOrders().size() > 0, "an order to move the stream was refused");
        assertFalse(call.isAborted());
        call.events("r1", "id: 1\ndata: y\n\n");
        call.complete(200, HeaderFixtures.answer("r1"));
        router.settle();
        assertEquals(client.received(), "id: 0\ndata: x\n\nid: 1\ndata: y\n\n");
        assertTrue(client.isComplete());
    }
}
