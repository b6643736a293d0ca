package org.cornelramp.gateway.route;

import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.platform.PlatformFault;
import org.cornelramp.platform.standin.HeaderFixtures;

/**
 * A backend server of a {@link PoisonFleet} that crashes, and comes back at its address as another server. Used by one
 * thread.
 */
final class CrashingServer {
    /** Expiry of a registration that is not renewed. */
    private static final long REGISTRATION_MILLIS = 3_600;

    /** Time in which an engine that has started loads its layers. */
    private static final long LOAD_MILLIS = 1_000;

    /** Layers of the model, all of which each engine holds. */
    private static final int LAYERS = 8;

    private static final int EVENTS = 12;
    private static final long PLAIN_MILLIS = 80;

    private final PoisonFleet fleet;
    private final String name;
    private final int port;
    private final boolean engine;
    private final List<Run> runs = new ArrayList<>();
    private BackendServer current;
    private boolean listening;
    private long silentUntilMillis;
    private int starts;

    /** A request that it runs. */
    private static final class Run {
        private final FakeHttpClient.Call call;
        private final SimulatedCaller caller;
        private final long beginMillis;
        private int nextEvent;
        private boolean begun;
        private int failureStatus;
        private long failureMillis;

        Run(FakeHttpClient.Call call, SimulatedCaller caller, long beginMillis) {
            this.call = call;
            this.caller = caller;
            this.beginMillis = beginMillis;
            this.nextEvent = HeaderFixtures.firstEventId(call::header);
        }
    }

    CrashingServer(PoisonFleet fleet, String name, int port, boolean engine) {
        this.fleet = fleet;
        this.name = name;
        this.port = port;
        this.engine = engine;
        start(true);
    }

    int port() {
        return port;
    }

    boolean isListening() {
        return listening;
    }

    /** The server that listens now, or has done so last. */
    BackendServer current() {
        return current;
    }

    /** Why a connection to this address cannot be opened; empty if something accepts it. */
    Optional<PlatformFault> connectFault() {
        return listening || fleet.isRelayed()
                ? Optional.empty()
                : Optional.of(new PlatformFault(PlatformFault.Kind.NOT_LISTENING, "refused"));
    }

    /** Why a question about a server at this address gets no answer; empty if it does. */
    Optional<PlatformFault> faultOf(BackendServer asked) {
        if (!listening || isSilent()) {
            return connectFault()
                    .or(() -> Optional.of(new PlatformFault(PlatformFault.Kind.NO_ANSWER, "closed without an answer")));
        }
        return asked.id().equals(current.id())
                ? Optional.empty()
                : Optional.of(new PlatformFault(PlatformFault.Kind.CONFLICT, "another server"));
    }

    private void start(boolean loaded) {
        starts++;
        String id = name + "-" + starts;
        HostPort address = new HostPort("127.0.0.1", port);
        BackendServer full = engine ? RouterSimulation.engine(id, port, 0, LAYERS) : TestServers.plain(id, port);
        current = engine && !loaded
                ? TestServers.engine(id, address, full.dataCentre().value(), Optional.empty())
                : full;
        listening = true;
        fleet.register(current);
        if (!loaded && engine) {
            fleet.schedule(LOAD_MILLIS, () -> finishLoad(full));
        }
    }

    private void finishLoad(BackendServer full) {
        if (listening && current.id().equals(full.id())) {
            current = full;
            fleet.register(full);
        }
    }

    /** Ends all that it runs; it listens again after a time, and its registration lapses. */
    void crash(long downMillis) {
        if (!listening) {
            return;
        }
        listening = false;
        silentUntilMillis = 0;
        BackendServer ended = current;
        closeConnections();
        fleet.schedule(REGISTRATION_MILLIS, () -> fleet.unregister(ended));
        fleet.schedule(downMillis, () -> start(false));
    }

    /** Loses its connections and answers nothing for a time, but goes on as the same server afterwards. */
    void interrupt(long forMillis) {
        if (listening) {
            silentUntilMillis = fleet.now() + forMillis;
            closeConnections();
        }
    }

    private boolean isSilent() {
        return fleet.now() < silentUntilMillis;
    }

    private void closeConnections() {
        List<Run> lost = List.copyOf(runs);
        runs.clear();
        lost.forEach(CrashingServer::closeConnection);
    }

    /** An unframed answer that has begun looks as if it were complete. */
    private static void closeConnection(Run run) {
        if (run.call.isAborted()) {
            run.call.fail(new IOException("aborted"));
        } else {
            run.call.close();
        }
    }

    /** Receives a request. */
    void receive(FakeHttpClient.Call call, String expectedServer, SimulatedCaller caller) {
        if (!listening) {
            call.fail(
                    fleet.isRelayed()
                            ? new EOFException("the connection was closed")
                            : new ConnectException("Connection refused"));
            return;
        }
        caller.poisons().forEach(fleet::recordArrival);
        if (!expectedServer.equals(current.name().value())) {
            call.complete(421, HeaderFixtures.answer(HeaderFixtures.requestId(call::header)));
            return;
        }
        runs.add(new Run(call, caller, fleet.now() + (engine ? fleet.promptMillis() : PLAIN_MILLIS / 2)));
    }

    /** Lets its work go on for a tick. */
    void work() {
        for (Run run : List.copyOf(runs)) {
            if (!listening || isSilent()) {
                return;
            }
            if (run.call.isAborted()) {
                runs.remove(run);
                run.call.fail(new IOException("aborted"));
            } else if (fleet.now() >= run.beginMillis) {
                advance(run);
            }
        }
    }

    private void advance(Run run) {
        if (!run.begun) {
            begin(run);
        }
        if (run.failureStatus > 0) {
            fail(run);
            return;
        }
        List<PoisonFleet.Poison> poisons = run.caller.poisons();
        if (poisons.stream().anyMatch(poison -> run.nextEvent >= poison.eventsBeforeCrash())) {
            poisons.forEach(fleet::recordCrash);
            crash(fleet.downMillis());
            return;
        }
        String id = requestId(run);
        if (!engine) {
            runs.remove(run);
            run.call.complete(200, HeaderFixtures.answer(id));
        } else if (run.nextEvent < EVENTS) {
            run.call.events(id, "id: " + run.nextEvent++ + "\ndata: x\n\n");
        } else {
            runs.remove(run);
            run.call.complete(200, HeaderFixtures.answer(id));
        }
    }

    private void begin(Run run) {
        run.begun = true;
        if (fleet.isNextUnframed()) {
            run.call.setFraming(FakeHttpClient.Framing.UNFRAMED);
        }
        run.failureStatus = run.caller.status().orElseGet(fleet::nextFailureStatus);
        run.failureMillis = fleet.now() + fleet.nextFailureDelayMillis();
    }

    /** Answers with a failure once it is due; the request crashes no server then. */
    private void fail(Run run) {
        if (fleet.now() >= run.failureMillis) {
            runs.remove(run);
            run.call.complete(run.failureStatus, HeaderFixtures.answer(requestId(run)));
        }
    }

    private static String requestId(Run run) {
        return HeaderFixtures.requestId(run.call::header);
    }
}
