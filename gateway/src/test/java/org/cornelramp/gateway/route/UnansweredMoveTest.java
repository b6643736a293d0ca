package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.EngineLoads;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.platform.MoveFault;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Orders to move a stream whose result is lost, late, or crosses another event. */
public class UnansweredMoveTest {
    private static final MoveFault REFUSED = new MoveFault(MoveAnswers.CONFLICT, Optional.empty());

    /** Longer than the time for which a move may stay without a result. */
    private static final long LONG_MILLIS = 5_000;

    private final BackendServer first = RouterSimulation.engine("a1", 11, 0, 4);
    private final BackendServer leaving = RouterSimulation.engine("b1", 21, 4, 8);
    private final BackendServer successor = RouterSimulation.engine("b2", 22, 4, 8);
    private RouterSimulation router;
    private FakeHttpClient.Call call;

    @BeforeMethod
    public void startStream() {
        startStream("");
    }

    private void startStream(String settings) {
        router = new RouterSimulation(StandInConfig.small(1).withCardMb(45), settings, 1);
        router.register(first);
        router.register(leaving);
        router.request("/chat/a", "r1");
        call = router.calls().get(0);
        call.events("r1", "id: 0\ndata: x\n\n");
        router.register(successor);
        router.register(leaving.withState(ServerState.DRAINING));
    }

    /** Lets time pass until the next order to move the stream has reached its engine; returns the result. */
    private RouterEvent.MoveResult awaitOrder() {
        for (int i = 0; i < 200; i++) {
            router.tick();
            while (router.runEngineCall()) {
                // until no call is queued
            }
            for (RouterEvent event = router.takeEvent(); event != null; event = router.takeEvent()) {
                if (event instanceof RouterEvent.MoveResult result) {
                    return result;
                }
                router.handle(event);
            }
        }
        throw new AssertionError("no order to move the stream");
    }

    private Optional<EngineLoads.Load> load(BackendServer engine) {
        Map<BackendServerId, EngineLoads.Load> loads =
                router.peerUpdate().loads().orElseThrow();
        return Optional.ofNullable(loads.get(engine.id()));
    }

    /** Guards against streams whose dead engine is never noticed because the result of a move order was lost. */
    @Test
    public void lostResultDoesNotHideTheStream() {
        awaitOrder();
        router.silenceEngines();
        router.run(LONG_MILLIS);
        assertTrue(call.isAborted(), "the stream is taken off its dead engine");
    }

    /** Guards against streams whose dead engine is never noticed because a move order ended with an exception. */
    @Test
    public void exceptionInAnOrderDoesNotHideTheStream() {
        router.setRepathAnswer(order -> {
            throw new CancellationException("the connection was closed");
        });
        router.run(2_000);
        assertTrue(router.repathOrders().size() > 0, "an order was sent");
        router.silenceEngines();
        router.run(LONG_MILLIS);
        assertTrue(call.isAborted(), "the stream is taken off its dead engine");
        assertTrue(router.linesWith("the connection was closed") > 0, "the reason is logged");
    }

    /** Guards against engines that are taken for alive because the call for their report throws an exception. */
    @Test
    public void exceptionInAProbeCountsAsNoAnswer() {
        router.setReportFaults(engine -> {
            throw new CancellationException("the connection was closed");
        });
        router.run(LONG_MILLIS);
        assertTrue(call.isAborted(), "the stream is taken off its dead engine");
    }

    /** Guards against a stream that runs on another path than the gateway assumes after a late result. */
    @Test
    public void lateSuccessIsApplied() {
        startStream(GatewayFixture.NO_RETRIES);
        RouterEvent.MoveResult moved = awaitOrder();
        router.run(LONG_MILLIS);
        assertFalse(call.isAborted(), "an engine that is shutting down still serves");
        router.handle(moved);
        router.tick();
        assertEquals(load(leaving), Optional.empty());
        assertEquals(load(successor).orElseThrow().requests(), 1);
        call.complete(200, HeaderFixtures.answer("r1"));
        router.run(100);
        assertEquals(load(successor), Optional.empty());
    }

    /** Guards against a path that a newer order has replaced already. */
    @Test
    public void lateSuccessDoesNotReplaceANewerOne() {
        RouterEvent.MoveResult moved = awaitOrder();
        router.handle(new RouterEvent.MoveResult(moved.attempt(), moved.path(), Either.left(REFUSED)));
        BackendServer other = RouterSimulation.engine("b3", 23, 4, 8);
        router.register(other);
        router.register(successor.withState(ServerState.DRAINING));
        RouterEvent.MoveResult newer = awaitOrder();
        router.handle(newer);
        router.handle(moved);
        router.tick();
        assertEquals(load(other).orElseThrow().requests(), 1);
        assertEquals(load(successor), Optional.empty());
    }

    /** Guards against a pending order that is forgotten, and sent again, because an older one ends late. */
    @Test
    public void lateRefusalDoesNotEndANewerOrder() {
        RouterEvent.MoveResult moved = awaitOrder();
        router.handle(new RouterEvent.MoveResult(moved.attempt(), moved.path(), Either.left(REFUSED)));
        router.register(RouterSimulation.engine("b3", 23, 4, 8));
        router.register(successor.withState(ServerState.DRAINING));
        awaitOrder();
        router.handle(new RouterEvent.MoveResult(moved.attempt(), moved.path(), Either.left(REFUSED)));
        router.run(400);
        assertEquals(router.repathOrders().size(), 2);
    }

    /** Guards against load that is counted for good because a move is accepted after the end of its attempt. */
    @Test
    public void moveAcceptedAfterTheEndOfItsAttemptAddsNoLoad() {
        RouterEvent.MoveResult moved = awaitOrder();
        call.complete(200, HeaderFixtures.answer("r1"));
        router.run(100);
        router.handle(moved);
        router.tick();
        assertEquals(router.peerUpdate().loads(), Optional.of(Map.of()));
        assertEquals(router.activeRequests(), 0);
    }

    /** Guards against load that is counted for good because a move is accepted while the attempt's end is queued. */
    @Test
    public void moveAcceptedBeforeTheQueuedEndOfItsAttemptLeavesNoLoad() {
        RouterEvent.MoveResult moved = awaitOrder();
        call.complete(200, HeaderFixtures.answer("r1"));
        router.handle(moved);
        router.run(100);
        assertEquals(router.peerUpdate().loads(), Optional.of(Map.of()));
        assertEquals(router.activeRequests(), 0);
    }

    /** Guards against attempts that are cancelled because an order for the one before them was refused. */
    @Test
    public void refusalForAReplacedAttemptDoesNotConcernTheNextOne() {
        RouterEvent.MoveResult moved = awaitOrder();
        call.fail(new IllegalStateException("reset"));
        router.run(200);
        assertEquals(router.calls().size(), 2, "the stream is resumed");
        router.handle(new RouterEvent.MoveResult(moved.attempt(), moved.path(), Either.left(REFUSED)));
        router.run(100);
        assertFalse(router.calls().get(1).isAborted());
    }
}
