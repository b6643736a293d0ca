package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;

import org.cornelramp.platform.standin.StandInServer;
import org.cornelramp.platform.standin.StandInServer.Behaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Answers of plain services that come later than their target, but in time. */
public class OverdueAnswerTest {
    /** Twice the target of the route, and a fifth of the time that its clients wait. */
    private static final long LATE_MILLIS = 600;

    private GatewayFixture fixture;

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
    }

    private void answerLate() {
        for (StandInServer app : new StandInServer[] {fixture.firstApp, fixture.secondApp}) {
            app.setBehaviour(Behaviour.ordinary().withPauseMillis(LATE_MILLIS));
        }
    }

    /**
     * A client asks for something that may be asked for twice, and the server takes twice the target. No repeat is left,
     * so nobody else can be asked, and the client gets the answer late. The gateway used to cancel the run at 1.2 times
     * the target; it then found no repeat and told the client that the outcome is unknown.
     */
    @Test
    public void aLateAnswerIsAwaitedWhenNoRepeatIsLeft() throws Exception {
        fixture = new GatewayFixture(GatewayFixture.NO_REPEATS);
        answerLate();
        assertEquals(fixture.client().send("/look/a", "late", "late").statusCode(), 200);
        assertEquals(fixture.received("late"), 1);
    }

    /** Guards against requests that run twice because the gateway had not got round to reading their answers. */
    @Test
    public void anAnswerThatIsThereUnreadIsNotOverdue() throws Exception {
        fixture = new GatewayFixture();
        for (int i = 0; i < 10; i++) {
            fixture.client().send("/look/a", "warm", "warm"); // connections to both servers are there and kept
        }
        HeldUpSelector.holdUp(fixture.gateway.clients().pooled(), LATE_MILLIS);
        assertEquals(fixture.client().send("/look/a", "unread", "unread").statusCode(), 200);
        assertEquals(fixture.received("unread"), 1);
    }

    /** The same, with repeats left and only one server: nobody else can be asked either. */
    @Test
    public void aLateAnswerIsAwaitedWhenNoOtherServerIsThere() throws Exception {
        fixture = new GatewayFixture();
        fixture.store.unregister(fixture.secondApp.id());
        GatewayFixture.await(() -> fixture.log().contains("\"servers\":3"), "the second server is gone");
        answerLate();
        assertEquals(fixture.client().send("/look/a", "only", "only").statusCode(), 200);
        assertEquals(fixture.received("only"), 1);
    }
}
