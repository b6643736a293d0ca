package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.platform.EngineControl;
import org.cornelramp.platform.EngineReport;
import org.cornelramp.platform.StoreFault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Questions of a process whose selector stands still. */
public class LateAnswerTest {
    /** Longer than a question's timeout, and shorter than a connect's. */
    private static final long STILL_MILLIS = 300;

    private static final long QUICK_MILLIS = 60;

    private final HttpClients clients = new HttpClients();

    @BeforeMethod
    public void start() throws Exception {
        clients.start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        clients.stop();
    }

    private Either<StoreFault, EngineReport> ask(int port) {
        BackendServer engine = TestEngines.empty("e1", new HostPort("127.0.0.1", port));
        return new EngineControl(clients.pooled()).report(engine, QUICK_MILLIS);
    }

    private boolean isSilent(SmallServer server) {
        Either<StoreFault, EngineReport> report = ask(server.port());
        return report.isLeft() && report.getLeft().kind() == StoreFault.Kind.NO_ANSWER;
    }

    /** Guards against engines held to be dead whose answer lay unread in the socket when the timer went off. */
    @Test
    public void anAnswerThatIsReadLateIsAnAnswer() throws Exception {
        try (SmallServer server = new SmallServer(true)) {
            assertFalse(isSilent(server), "a connection is there and kept");
            HeldUpSelector.holdUp(clients.pooled(), STILL_MILLIS);
            assertFalse(isSilent(server));
            assertEquals(server.requests(), 2);
        }
    }

    /** Guards against engines held to be dead that had taken a connection which the gateway had not noticed yet. */
    @Test
    public void anEngineThatHasTakenTheConnectionIsGivenTheTimeToAnswer() throws Exception {
        try (SmallServer server = new SmallServer(true)) {
            HeldUpSelector.holdUp(clients.pooled(), STILL_MILLIS);
            assertFalse(isSilent(server));
        }
    }

    /** An engine that takes connections and says nothing is silent. */
    @Test
    public void anEngineThatSaysNothingIsSilent() throws Exception {
        try (SmallServer server = new SmallServer(false)) {
            assertTrue(isSilent(server));
        }
    }

    /** Guards against dead engines that are found only when the connect's own, longer timeout is over. */
    @Test
    public void anEngineThatTakesNoConnectionIsSilentAfterTheQuestionsTimeout() throws Exception {
        try (FullServer full = new FullServer()) {
            assertEquals(ask(full.port()).getLeft().detail(), "no answer in " + QUICK_MILLIS + " ms");
        }
    }

    /** The same while this process stands still: its own lateness is no sign of life. */
    @Test
    public void anEngineThatSaysNothingIsSilentForALateProcessToo() throws Exception {
        try (SmallServer server = new SmallServer(false)) {
            HeldUpSelector.holdUp(clients.pooled(), STILL_MILLIS);
            assertTrue(isSilent(server));
        }
    }
}
