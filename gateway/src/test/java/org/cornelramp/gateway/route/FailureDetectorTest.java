package org.cornelramp.gateway.route;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.core.fleet.SharedServerSelector.Situation;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.platform.EngineControl;
import org.cornelramp.platform.ForwardedHead;
import org.cornelramp.platform.PlatformFault;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.testng.annotations.Test;

/** Which servers are considered dead or suspected after a failed attempt or a missing report. */
public class FailureDetectorTest {
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

    private final FleetState fleet = new FleetState("g1", 1_200);
    private final EventLog log = new EventLog(new ByteArrayOutputStream(), Clock.systemUTC(), "g1");
    private final FailureDetector failureDetector = failureDetector(fleet);

    private FailureDetector failureDetector(FleetState of) {
        AsyncEngineControl engineControl =
                AsyncEngineControl.withOwnThreads(new EngineControl(new HttpClient(), SteadyClock.system()::millis));
        return new FailureDetector(of, engineControl, 2_000, log, new Meters(), event -> {});
    }

    private Attempt attempt() {
        ForwardedHead head = new ForwardedHead(
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
     * Guards against a living first engine that loses all streams of a gateway. Another engine of the path is found
     * dead while a stream still waits for a connection to its first engine; the gateway cancels the attempt to restart
     * it, so it is never sent. Its end must not count against the first engine (log line "suspected" with evidence LOST
     * and the gateway's own reason, "an engine of its path is lost").
     */
    @Test
    public void cancelledAttemptDoesNotSuspectEngine() {
        Attempt cancelled = attempt();
        cancelled.cancel("an engine of its path is lost");
        failureDetector.handleFailedAttempt(cancelled, notSent("an engine of its path is lost"), NOW);
        assertFalse(fleet.isSuspect(engine.id(), NOW));
    }

    /** An engine that accepts no connection is dead or unreachable. */
    @Test
    public void engineRefusingConnectionsIsLost() {
        failureDetector.handleFailedAttempt(attempt(), notSent("Connection refused"), NOW);
        assertTrue(fleet.isLost(engine.id(), NOW));
    }

    /** Guards against living engines that lose all streams of a gateway because one connect to them timed out. */
    @Test
    public void connectTimeoutSuspectsEngineButDoesNotLoseIt() {
        FleetState own = new FleetState("g1", 1_200);
        AttemptEnd timedOut = end(AttemptEnd.Kind.NO_CONNECTION, "Connect Timeout");
        failureDetector(own).handleFailedAttempt(attempt(), timedOut, NOW);
        assertTrue(own.isSuspect(engine.id(), NOW), "new requests go to other engines meanwhile");
        assertFalse(own.isLost(engine.id(), NOW));
    }

    /**
     * Guards against streams that stay on a crashed engine because the gateway was late or got no answer from two other
     * engines: a refused connection cannot be caused by the gateway's own delay.
     */
    @Test
    public void lateGatewayTrustsRefusedConnection() {
        FleetState late = new FleetState("g1", 1_200);
        late.recordTickDelay(200, NOW);
        PlatformFault refused = new PlatformFault(PlatformFault.Kind.NOT_LISTENING, "Connection refused");
        failureDetector(late).handleReport(engine, Either.left(refused), NOW);
        assertTrue(late.isLost(engine.id(), NOW));
    }

    /**
     * Guards against a plain server that gets as many requests as others although its responses have no end: the gateway
     * ends such an attempt itself, which otherwise says nothing about the server.
     */
    @Test
    public void invalidResponseOfPlainServerCountsAsItsFailure() {
        Attempt rejected = attempt();
        rejected.reject("the response exceeds the buffer limit");
        assertTrue(choicesAfter(rejected) < 10);
        Attempt cancelled = attempt();
        cancelled.cancel("deadline");
        assertTrue(choicesAfter(cancelled) > 30);
    }

    /** How often of 100 times a server is chosen instead of an equal one after an attempt there has ended. */
    private long choicesAfter(Attempt attempt) {
        FleetState own = new FleetState("g1", 1_200);
        own.plainStats().requestSent(engine.id(), 0);
        failureDetector(own).recordOutcome(attempt, end(AttemptEnd.Kind.BROKEN, "cancelled"), 1);
        List<BackendServer> servers = List.of(engine, TestServers.incarnation(engine, "i-2"));
        Situation situation = new Situation(engine.dataCentre(), id -> 0, 1);
        Random random = new Random(1);
        return IntStream.range(0, 100)
                .filter(i -> own.sharedServers()
                        .choose(servers, Set.of(), situation, random)
                        .equals(Optional.of(engine)))
                .count();
    }
}
