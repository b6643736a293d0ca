package org.cornelramp.gateway.route;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.time.Clock;
import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.platform.EngineControl;
import org.cornelramp.platform.ForwardHead;
import org.cornelramp.platform.StoreFault;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.testng.annotations.Test;

/** Which servers are held to be dead for the end of an attempt. */
public class ServerJudgeTest {
    private static final long NOW = 10_000;

    private final BackendServer engine = new BackendServer(
            new BackendServerId("i-1"),
            new BackendServerId("i-1"),
            new ServiceName("llm"),
            new HostPort("127.0.0.1", 9),
            new DataCentre("dc1"),
            ServerState.READY,
            134,
            "l4",
            Optional.of(new LayerRange(0, 8, 8)));

    private final Beliefs beliefs = new Beliefs(1_200);
    private final EventLog log = new EventLog(new ByteArrayOutputStream(), Clock.systemUTC(), "g1");
    private final ServerJudge judge = judge(beliefs);

    private ServerJudge judge(Beliefs of) {
        EngineDesk desk = new EngineDesk(new EngineControl(new HttpClient()));
        return new ServerJudge(of, desk, 2_000, log, new Meters(), event -> {});
    }

    private Attempt attempt() {
        ForwardHead head = new ForwardHead(
                engine.name(), 1_000, Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
        return new Attempt(null, null, engine, head, SteadyClock.system(), (ended, end) -> {});
    }

    private static AttemptEnd notSent(String why) {
        return end(AttemptEnd.Kind.NOT_SENT, why);
    }

    private static AttemptEnd end(AttemptEnd.Kind kind, String why) {
        return new AttemptEnd(kind, 0, HttpFields.EMPTY, new byte[0], Optional.empty(), why);
    }

    /**
     * A stream waits for a connection to its first engine when another engine of its path is found dead. The gateway cancels
     * it to start it anew, so it is never sent. Its first engine lives and must be trusted: held to be dead for that, it lost
     * all streams of this gateway ("suspected" as LOST with the gateway's own words, "an engine of its path is lost").
     */
    @Test
    public void anEngineIsNotBlamedForWhatTheGatewayCancelled() {
        Attempt cancelled = attempt();
        cancelled.cancel("an engine of its path is lost");
        judge.blame(cancelled, notSent("an engine of its path is lost"), NOW);
        assertFalse(beliefs.isSuspect(engine.id(), NOW));
    }

    /** An engine that takes no connection is dead or cut off. */
    @Test
    public void anEngineThatTakesNoConnectionIsHeldToBeDead() {
        judge.blame(attempt(), notSent("Connection refused"), NOW);
        assertTrue(beliefs.isLost(engine.id(), NOW));
    }

    /** Guards against living engines that lose all streams of a gateway because one of their connects was not answered. */
    @Test
    public void anEngineThatDoesNotTakeAConnectInTimeIsAskedFirst() {
        Beliefs own = new Beliefs(1_200);
        AttemptEnd timedOut = end(AttemptEnd.Kind.NO_CONNECTION, "Connect Timeout");
        judge(own).blame(attempt(), timedOut, NOW);
        assertTrue(own.isSuspect(engine.id(), NOW), "new requests go elsewhere meanwhile");
        assertFalse(own.isLost(engine.id(), NOW));
    }

    /**
     * Guards against streams that stay at a crashed engine because the gateway was late, or had heard nothing of two others:
     * its own lateness explains no refused connection.
     */
    @Test
    public void aRefusedQuestionIsBelievedByALateGateway() {
        Beliefs late = new Beliefs(1_200);
        late.tickLate(200, NOW);
        StoreFault refused = new StoreFault(StoreFault.Kind.NOT_LISTENING, "Connection refused");
        judge(late).reported(engine, Either.left(refused), NOW);
        assertTrue(late.isLost(engine.id(), NOW));
    }
}
