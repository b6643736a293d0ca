package org.cornelramp.gateway.route;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.cornelramp.core.fleet.ServerState;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.gateway.peer.PeerUpdate;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.MoveFault;
import org.cornelramp.platform.PlatformFault;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.eclipse.jetty.http.HttpFields;

/**
 * Plays the steps of a history on a router and checks after each step what must hold for every client:
 *
 * <ul>
 *   <li>it has received the first events of its stream, each once and whole;
 *   <li>a started stream ends only complete, because its client has left, at its deadline, or after six runs without an
 *       event (after six runs if three engines that ran it may be lost);
 *   <li>a request that is not idempotent runs at most once, and a refusal says truly that it has not run;
 *   <li>a request ends by the first tick after its deadline, and the router keeps exactly those that have not ended
 *       and throws no exception but those that a step has caused.
 * </ul>
 *
 * <p>At the end the servers that have failed are replaced, or gone if enough others have never failed, and peers lend
 * retries; then every started stream completes. Used by one thread.
 */
final class RouterHistory {
    /** Number of events of each stream. */
    static final int EVENTS = 4;

    private static final int MOST_RUNS = 6;
    private static final int LOST_ENGINES = 3;

    /** Time in which a started stream completes when all servers work: the longest exclusion of one that refuses. */
    private static final long RECOVERY_MILLIS = 3_000;

    private static final PeerUpdate.Sender PEER = new PeerUpdate.Sender("g2", 1, new DataCentre("dc1"));

    private final RouterSimulation router;
    private final List<SimulatedServer> servers = new ArrayList<>();
    private final Map<String, FakeClient> clients = new LinkedHashMap<>();
    private final List<SimulatedRun> runs = new ArrayList<>();
    private final List<Either<MoveFault, byte[]>> moveAnswers;
    private Either<MoveFault, byte[]> moveAnswer = Either.right(new byte[0]);
    private StandInConfig config = StandInConfig.small(1);
    private long peerNumber;

    /**
     * @param reserve retries that all gateways have beside those that requests earn
     * @param pairs pairs of engines, each of a half of the model, that are registered at the start
     * @param priorities whether streams have several priorities, so that they wait for their admission
     */
    RouterHistory(int reserve, int pairs, boolean priorities) {
        String retries = ",\"retries\":{\"ratio\":0,\"reserve\":" + reserve + ",\"windowSeconds\":2}";
        router = RouterSimulation.of(config, retries, priorities);
        addEngine("a1", 0, 4);
        addEngine("b1", 4, 8);
        addEngine("a2", 0, 4);
        addEngine("b2", 4, 8);
        addEngine("c1", 0, 8);
        servers.add(new SimulatedServer(router, TestServers.plain("p1", 31)));
        servers.add(new SimulatedServer(router, TestServers.plain("p2", 32)));
        servers.subList(0, 2 * pairs).forEach(server -> server.register(ServerState.READY));
        servers.get(5).register(ServerState.READY);
        moveAnswers = MoveAnswers.of(servers.subList(0, 5));
        router.setRepathAnswer(this::answerMove);
        router.setReportFaults(engine -> serverAt(engine.address().port()).fault());
    }

    private void addEngine(String id, int from, int to) {
        servers.add(new SimulatedServer(router, RouterSimulation.engine(id, 11 + servers.size(), from, to)));
    }

    private Either<MoveFault, byte[]> answerMove(RouterSimulation.RepathOrder order) {
        Optional<PlatformFault> fault = serverAt(order.first().address().port()).fault();
        if (fault.isPresent()) {
            return Either.left(new MoveFault(fault.get(), Optional.empty()));
        }
        List<SimulatedServer> path = order.path().hops().stream()
                .map(hop -> serverAt(hop.server().address().port()))
                .toList();
        Optional<SimulatedServer> failed =
                path.stream().filter(server -> !server.isWell()).findFirst();
        if (failed.isPresent()) {
            return Either.left(new MoveFault(
                    MoveAnswers.CONFLICT, failed.map(server -> server.current().address())));
        }
        if (moveAnswer.isRight()) {
            runs.stream()
                    .filter(run -> run.isOpen() && run.id().equals(order.requestId()))
                    .forEach(run -> run.move(path));
        }
        return moveAnswer;
    }

    private SimulatedServer serverAt(int port) {
        return servers.stream()
                .filter(server -> server.port() == port)
                .findFirst()
                .orElseThrow();
    }

    /** Plays the steps, then lets enough servers work for all streams. */
    void play(List<HistoryStep> steps) {
        for (HistoryStep step : steps) {
            step.applyTo(this);
            check();
        }
        recover();
    }

    void request(String path) {
        String id = Integer.toString(clients.size(), 36);
        clients.put(id, router.request(path, id));
    }

    private Optional<SimulatedRun> runThat(int value, Predicate<SimulatedRun> condition) {
        return pick(value, runs.stream().filter(condition).toList());
    }

    private static <T> Optional<T> pick(int value, List<T> all) {
        return all.isEmpty() ? Optional.empty() : Optional.of(all.get(value % all.size()));
    }

    private static boolean canStream(SimulatedRun run) {
        return run.canAct() && isStream(run.client()) && !run.isFinished();
    }

    private static boolean canAnswer(SimulatedRun run) {
        return run.canAct() && !run.isAnswering() && !run.isAborted();
    }

    private static boolean isStream(FakeClient client) {
        return client.exchange().request().route().mayRetry()
                && client.exchange().request().route().resumable();
    }

    void sendEvent(int value) {
        runThat(value, RouterHistory::canStream).ifPresent(run -> sendEvent(run, () -> {}));
    }

    private void sendEvent(SimulatedRun run, Runnable beforeWrite) {
        router.pass(1);
        run.sendEvent(beforeWrite);
    }

    void sendHalfEvent(int value) {
        runThat(value, run -> canStream(run) && !run.isWithinEvent()).ifPresent(SimulatedRun::sendHalfEvent);
    }

    void finishRun(int value) {
        runThat(value, run -> run.canAct() && !run.isAborted()).ifPresent(this::finish);
    }

    private void finish(SimulatedRun run) {
        while (isStream(run.client()) && !run.isFinished()) {
            sendEvent(run, () -> {});
        }
        run.complete();
    }

    void cut(int value) {
        runThat(value, SimulatedRun::isOpen).ifPresent(SimulatedRun::cut);
    }

    /** Ends a run so that the router's handling of the end throws an exception. */
    void cutWithFault(int value) {
        router.failNextEnd();
        cut(value);
    }

    /** Ends a run while an event of it has been read and is not written yet. */
    void cutBeforeWrite(int value) {
        runThat(value, RouterHistory::canStream)
                .ifPresent(run -> sendEvent(run, () -> {
                    run.cut();
                    settle();
                }));
    }

    void refuse(int value) {
        runThat(value, RouterHistory::canAnswer)
                .ifPresent(run -> run.refuse(blame(value / 2, HeaderFixtures.refusal(run.id()))));
    }

    void answerError(int value) {
        runThat(value, RouterHistory::canAnswer)
                .ifPresent(run ->
                        run.answer(value % 2 == 0 ? 404 : 500, blame(value / 2, HeaderFixtures.answer(run.id()))));
    }

    /** Names an engine as the cause, except for the lower half of the values. */
    private HttpFields blame(int value, HttpFields fields) {
        if (value < 3) {
            return fields;
        }
        SimulatedServer blamed = servers.get(value % servers.size());
        blamed.doubt();
        return HeaderFixtures.naming(blamed.current().address().toString(), fields);
    }

    void loseAnswer(int value) {
        runThat(value, SimulatedRun::canAct).ifPresent(SimulatedRun::loseAnswer);
    }

    void setMoveAnswer(int value) {
        moveAnswer = moveAnswers.get(value % moveAnswers.size());
    }

    void rejectEngineCalls(int value) {
        router.setEngineCallsRejected(value % 2 == 0);
    }

    void leave(int value) {
        servers.get(value % servers.size()).register(ServerState.DRAINING);
    }

    void unregister(int value) {
        servers.get(value % servers.size()).unregister();
    }

    void kill(int value) {
        SimulatedServer server = servers.get(value % servers.size());
        server.setCondition(SimulatedServer.Condition.DEAD);
        cutRuns(server);
    }

    private void cutRuns(SimulatedServer server) {
        runs.stream().filter(run -> run.isOpen() && run.server() == server).forEach(SimulatedRun::cut);
    }

    void silence(int value) {
        servers.get(value % servers.size()).setCondition(SimulatedServer.Condition.SILENT);
    }

    /** Lets a server that has not died work again under its id. */
    void returnServer(int value) {
        SimulatedServer server = servers.get(value % servers.size());
        if (!server.isDead()) {
            server.setCondition(SimulatedServer.Condition.WELL);
            server.register(ServerState.READY);
        }
    }

    void restart(int value) {
        SimulatedServer server = servers.get(value % servers.size());
        cutRuns(server);
        server.replace();
    }

    void publish(int value) {
        String mark = value % 2 == 0 ? "" : "/mark/";
        config = config.withVersion(config.version() + 1, mark).withCardMb(value % 3 == 0 ? 45 : 400);
        router.publish(config);
    }

    /** Lets a peer lend the retries that the gateway asks for. */
    void lendRetries() {
        Map<ServiceName, List<RetryLoanUpdate.Loan>> loans = new HashMap<>();
        router.peerUpdate()
                .retryLoans()
                .loanRequests()
                .forEach((service, request) ->
                        loans.put(service, List.of(new RetryLoanUpdate.Loan("g1", request.id(), request.amount()))));
        peerUpdate(Set.of(), new RetryLoanUpdate(Map.of(), loans));
    }

    void peerSuspicion(int value) {
        BackendServerId id = servers.get(value % servers.size()).current().id();
        peerUpdate(Set.of(id), RetryLoanUpdate.NONE);
    }

    private void peerUpdate(Set<BackendServerId> suspects, RetryLoanUpdate loans) {
        peerNumber++;
        router.handle(new RouterEvent.PeerUpdateReceived(
                PeerUpdate.of(PEER, peerNumber, false, Map.of(), 0, Map.of(), suspects, loans)));
    }

    void stallClient(int value) {
        pick(value, List.copyOf(clients.values())).ifPresent(FakeClient::stall);
    }

    void readClient(int value) {
        pick(value, List.copyOf(clients.values())).ifPresent(FakeClient::accept);
    }

    void leaveClient(int value) {
        pick(value, List.copyOf(clients.values())).ifPresent(FakeClient::leave);
    }

    void tick() {
        router.tick();
        receive();
        clients.forEach((id, client) -> require(
                client.exchange().isEnded()
                        || router.now() < client.exchange().request().deadlineMillis(),
                id + " is in progress after its deadline"));
    }

    void run(int value) {
        for (int i = 0; i <= 3 * value; i++) {
            tick();
            settle();
        }
    }

    /** Lets time pass in which this process does nothing. */
    void pause(int value) {
        router.pass(150L * value);
        tick();
    }

    void handleNext() {
        router.handleNext();
    }

    void runEngineCall() {
        router.runEngineCall();
    }

    void settle() {
        do {
            router.settle();
            receive();
        } while (router.queued() > 0);
    }

    /** Hands the requests that the gateway has sent to the servers. */
    private void receive() {
        while (runs.size() < router.calls().size()) {
            FakeHttpClient.Call call = router.calls().get(runs.size());
            FakeClient client = clients.get(HeaderFixtures.requestId(call::header));
            List<Integer> ports = HeaderFixtures.enginePorts(call::header);
            List<SimulatedServer> path = (ports.isEmpty() ? List.of(call.port()) : ports)
                    .stream().map(this::serverAt).toList();
            SimulatedRun run = new SimulatedRun(call, path, client);
            requireRepeatable(run);
            runs.add(run);
            if (run.server().isDead()) {
                run.refuseConnection();
            }
        }
    }

    private void requireRepeatable(SimulatedRun run) {
        boolean may = run.client().exchange().request().route().mayRetry()
                || runsOf(run.client()).stream().allMatch(SimulatedRun::surelyNotRun);
        require(may, run.id() + " may run a second time");
    }

    private List<SimulatedRun> runsOf(FakeClient client) {
        return runs.stream().filter(run -> run.client() == client).toList();
    }

    private void check() {
        receive();
        require(router.hasOnlyCausedExceptions(), router.exceptions() + " exceptions in the router's work");
        clients.forEach(this::check);
        long open = clients.values().stream()
                .filter(client -> !client.exchange().isEnded())
                .count();
        require(router.activeRequests() == open, router.activeRequests() + " requests are kept, " + open + " are open");
    }

    private void check(String id, FakeClient client) {
        if (isStream(client) && client.exchange().isCommitted()) {
            requireFirstEvents(id, client);
            boolean allowed = !client.exchange().isEnded() || client.isComplete() || mayBeBrokenOff(client);
            require(allowed, id + " is broken off");
        }
        if (client.status() == 503 || client.status() == 429) {
            boolean ran = runsOf(client).stream().anyMatch(run -> !run.surelyNotRun());
            require(!ran, id + " is refused and may have run");
        }
    }

    private static void requireFirstEvents(String id, FakeClient client) {
        String whole = SimulatedRun.events(id, EVENTS);
        String got = client.received();
        boolean prefix = whole.startsWith(got) && (got.isEmpty() || got.endsWith("\n\n"));
        require(prefix && (!client.isComplete() || got.equals(whole)), id + " has received [" + got + "]");
    }

    private boolean mayBeBrokenOff(FakeClient client) {
        return client.isGone()
                || router.now() >= client.exchange().request().deadlineMillis()
                || isRunLimitReached(client);
    }

    private boolean isRunLimitReached(FakeClient client) {
        List<SimulatedRun> possible =
                runsOf(client).stream().filter(run -> !run.surelyNotRun()).toList();
        long doubted = possible.stream()
                .map(SimulatedRun::received)
                .filter(SimulatedRun.Share::isDoubted)
                .distinct()
                .count();
        return possible.size() >= MOST_RUNS
                && (doubted >= LOST_ENGINES
                        || possible.subList(possible.size() - MOST_RUNS, possible.size()).stream()
                                .noneMatch(SimulatedRun::hasDelivered));
    }

    /** Lets enough servers and all clients work: the open streams complete, the other requests end by their deadlines. */
    private void recover() {
        List<FakeClient> streams = clients.values().stream()
                .filter(client -> isStream(client) && !client.isGone())
                .filter(client -> client.exchange().isCommitted()
                        && !client.exchange().isEnded()
                        && client.exchange().request().deadlineMillis() - router.now() > RECOVERY_MILLIS)
                .toList();
        repair();
        for (long end = router.now() + RECOVERY_MILLIS - 100; router.now() < end && router.activeRequests() > 0; ) {
            tick();
            settle();
            lendRetries();
            serve();
            check();
        }
        streams.forEach(client -> require(
                client.isComplete() || (client.exchange().isEnded() && isRunLimitReached(client)),
                client.exchange().request().id() + " does not complete"));
        endAll();
    }

    private void repair() {
        router.setEngineCallsRejected(false);
        moveAnswer = moveAnswers.get(0);
        config = config.withVersion(config.version() + 1, "").withCardMb(400);
        router.publish(config);
        clients.values().forEach(FakeClient::accept);
        boolean replaced = !hasUsablePath();
        servers.stream()
                .filter(server -> server.isKnown() && !server.isUsable())
                .forEach(server -> retire(server, replaced));
    }

    /** Whether engines that the gateway has no reason to doubt hold the whole model. */
    private boolean hasUsablePath() {
        return IntStream.of(0, 7).allMatch(layer -> servers.stream()
                .anyMatch(server -> server.isUsable() && server.current().holds(layer)));
    }

    private void retire(SimulatedServer server, boolean replaced) {
        cutRuns(server);
        if (replaced) {
            server.replace();
        } else {
            server.setCondition(SimulatedServer.Condition.DEAD);
            server.unregister();
        }
    }

    private void serve() {
        receive();
        for (SimulatedRun run : List.copyOf(runs)) {
            if (run.isOpen() && (run.isAborted() || run.isLost())) {
                run.cut();
            } else if (run.canAct()) {
                finish(run);
            }
        }
        settle();
    }

    private void endAll() {
        long last = clients.values().stream()
                .map(client -> client.exchange().request().deadlineMillis())
                .max(Comparator.naturalOrder())
                .orElse(router.now());
        router.pass(Math.max(0, last - router.now()));
        tick();
        serve();
        check();
        require(router.activeRequests() == 0, "no request is kept after its deadline");
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }
}
