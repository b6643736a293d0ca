package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;

import org.cornelramp.platform.standin.StandInServer;
import org.cornelramp.platform.standin.StandInServer.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Responses of plain services that arrive after the target latency but before the deadline. */
public class OverdueResponseTest {
    /** Twice the target latency of the route, and a fifth of the time that its clients wait. */
    private static final long LATE_MILLIS = 600;

    private GatewayFixture fixture;

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
    }

    private void respondLate() {
        for (StandInServer app : new StandInServer[] {fixture.firstApp, fixture.secondApp}) {
            app.setBehaviour(Behaviour.ordinary().withPauseMillis(LATE_MILLIS));
        }
    }

    /**
     * Guards against an attempt that is cancelled at 1.2 times the target latency while no retry is left, so that the
     * client gets "outcome unknown" instead of a late response. The server takes twice the target for a request that
     * may be retried.
     */
    @Test
    public void lateResponseIsAwaitedWhenNoRetryIsLeft() throws Exception {
        fixture = new GatewayFixture(GatewayFixture.NO_RETRIES);
        respondLate();
        assertEquals(fixture.client().send("/look/a", "late", "late").statusCode(), 200);
        assertEquals(fixture.received("late"), 1);
    }

    /** Guards against requests that run twice because the gateway has not yet read a response that has arrived. */
    @Test
    public void unreadResponseIsNotOverdue() throws Exception {
        fixture = new GatewayFixture();
        for (int i = 0; i < 10; i++) {
            fixture.client().send("/look/a", "warm", "warm"); // opens pooled connections to both servers
        }
        SelectorStall.stall(fixture.gateway.clients().pooled(), LATE_MILLIS);
        assertEquals(fixture.client().send("/look/a", "unread", "unread").statusCode(), 200);
        assertEquals(fixture.received("unread"), 1);
    }

    /** The same with retries left but only one server, so that no other server can be tried. */
    @Test
    public void lateResponseIsAwaitedWhenThereIsNoOtherServer() throws Exception {
        fixture = new GatewayFixture();
        fixture.store.unregister(fixture.secondApp.id());
        GatewayFixture.await(() -> fixture.log().contains("\"servers\":3"), "the second server is gone");
        respondLate();
        assertEquals(fixture.client().send("/look/a", "only", "only").statusCode(), 200);
        assertEquals(fixture.received("only"), 1);
    }
}
