package org.cornelramp.gateway.route;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.daemon.kernel.Duty;
import org.cornelramp.gateway.HttpClients;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.peer.PeerNews;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.gateway.request.Exchange;
import org.cornelramp.gateway.request.Refusal;
import org.cornelramp.platform.CallHead;
import org.cornelramp.platform.MoveFault;
import org.cornelramp.platform.StoreFault;

/**
 * Decides where each request goes, and again when an attempt fails.
 *
 * <p>One thread owns all state here; other threads only {@link #offer} events. Invariant: a request that may not be
 * repeated is sent again only after an attempt that surely did not run.
 */
public final class Router {
    private static final int RING = 8_192;
    private static final long TICK_MILLIS = 20;

    /** How long a request waits at a start until the servers are known, in milliseconds; they are read in a tenth of it. */
    private static final long START_WAIT_MILLIS = 1_000;

    /** Lowest status by which a backend server says that it failed. */
    private static final int SERVER_ERROR = 500;

    private final ConfigHolder config;
    private final SteadyClock clock;
    private final EventLog log;
    private final Meters meters;
    private final EngineDesk desk;
    private final FlightLog flightLog;
    private final Beliefs beliefs;
    private final IdentityHashMap<Exchange, Flight> flights = new IdentityHashMap<>();
    private final Repeats repeats;
    private final ServerJudge judge;
    private final OverdueRuns overdue;
    private final PeerTalk talk;
    private final AtomicInteger underWay = new AtomicInteger();
    private final Duty<RouterEvent> duty;
    private final Dispatcher dispatcher;
    private final Resender resender;
    private final StreamWatch watch;
    private volatile FleetView view = FleetView.NOTHING;
    private boolean storeAnswers;
    private long lastTickMillis;

    /**
     * @param clients send the requests
     * @param desk asks engines and gives them orders
     */
    public Router(
            GatewaySettings settings,
            HttpClients clients,
            ConfigHolder config,
            SteadyClock clock,
            EventLog log,
            Meters meters,
            EngineDesk desk) {
        this.beliefs = new Beliefs(settings.timing().heartbeatMillis());
        this.config = config;
        this.clock = clock;
        this.log = log;
        this.meters = meters;
        this.desk = desk;
        this.flightLog = new FlightLog(log, meters);
        this.duty = new Duty<>("router", RING, this::handle, this::tick, TICK_MILLIS);
        this.repeats = new Repeats(settings.name(), settings.retries(), new SplittableRandom());
        this.judge = new ServerJudge(beliefs, desk, settings.timing().stallMillis(), log, meters, this::offer);
        this.talk = new PeerTalk(
                settings.name(),
                settings.dataCentre(),
                beliefs,
                repeats,
                server -> judge.seenToFail(server, clock.millis()));
        judge.setOnLost(talk::sawFail);
        this.dispatcher = new Dispatcher(settings, clients, config, beliefs, clock, log, this::attemptEnded);
        this.resender = new Resender(repeats, dispatcher, beliefs, flightLog);
        this.overdue = new OverdueRuns(repeats, dispatcher);
        this.watch = new StreamWatch(beliefs, desk, judge, overdue, log, this::offer);
    }

    /** Starts the duty's thread. */
    public void start() {
        duty.start();
    }

    /** Ends the duty's thread. */
    public void stop() {
        duty.stop();
    }

    /** Hands an event to the duty; false when its ring is full. */
    public boolean offer(RouterEvent event) {
        return duty.offer(event);
    }

    /** Requests under way. */
    public int underWay() {
        return underWay.get();
    }

    /** What is believed of the fleet. */
    public FleetView view() {
        return view;
    }

    /** What this process tells its peers. */
    public PeerNews news() {
        return talk.news();
    }

    /** Notes that this process is stopping, for its peers. */
    public void leave() {
        talk.leave();
    }

    /** Whether a peer is there that is not stopping. */
    public boolean hasStayingPeer() {
        return talk.hasStayingPeer();
    }

    /** Takes a peer's news. */
    public void peerTold(PeerNews told) {
        offer(new RouterEvent.PeerTold(told));
    }

    private void handle(RouterEvent event) {
        long now = clock.millis();
        if (event instanceof RouterEvent.Arrived arrived) {
            arrived(arrived.exchange(), now);
        } else if (event instanceof RouterEvent.Ended ended) {
            ended(ended.attempt(), ended.end(), now);
        } else if (event instanceof RouterEvent.Registered registered) {
            registered(registered, now);
        } else if (event instanceof RouterEvent.PeerTold told) {
            talk.told(told.news(), now);
        } else if (event instanceof RouterEvent.StoreAnswers answers) {
            storeAnswers(answers.answers(), now);
        } else if (event instanceof RouterEvent.Reported reported) {
            reported(reported, now);
        } else if (event instanceof RouterEvent.Moved moved) {
            moved(moved, now);
        }
        if (judge.takeLostSeen()) {
            watch.check(flights.values(), config.current(), now); // its streams go on before their clients notice
        }
    }

    private void arrived(Exchange exchange, long now) {
        Exchange.Call call = exchange.call();
        double draw = (call.id().hashCode() & 0x7fffffff) / (double) (1L << 31);
        ServiceName service = call.route().service(draw);
        Flight flight = new Flight(exchange, service, expectedTokens(call.head()));
        flights.put(exchange, flight);
        underWay.incrementAndGet();
        repeats.request(service, now);
        if (exchange.hasClientLeft(now)) {
            drop(flight, "client gone", flight.exchange().clientSeen(), now); // while its request was held
            return;
        }
        send(flight, now);
    }

    private static int expectedTokens(CallHead head) {
        int guess = head.guessedOutputTokens() > 0 ? head.guessedOutputTokens() : head.mostOutputTokens();
        int output = head.mostOutputTokens() > 0 ? Math.min(guess, head.mostOutputTokens()) : guess;
        return head.promptTokens() + output;
    }

    /** Sends a request, or ends it when no server can take it. */
    private void send(Flight flight, long now) {
        if (now >= flight.exchange().call().deadlineMillis()) {
            giveUp(flight, Refusal.NOT_RUN_IN_TIME, "deadline");
        } else if (!dispatcher.send(flight, now)) {
            waitOrGiveUp(flight, now);
        }
    }

    /**
     * A stream that has begun waits for a path until its client leaves, since nobody else can carry it on; what has not
     * begun is refused at once, but for the moment after a start in which the servers are not known yet.
     */
    private void waitOrGiveUp(Flight flight, long now) {
        if (!beliefs.isKnown() && now - flight.exchange().call().receivedMillis() < START_WAIT_MILLIS) {
            return;
        }
        if (flight.exchange().isCommitted()) {
            resender.awaitPath(flight, now);
            return;
        }
        giveUp(flight, flight.mayHaveRun() == 0 ? Refusal.NO_SERVER : Refusal.UNKNOWN, "no server");
    }

    private void attemptEnded(Attempt attempt, AttemptEnd end) {
        RouterEvent event = new RouterEvent.Ended(attempt, end);
        while (!offer(event)) {
            Thread.onSpinWait(); // an end that is lost would keep its load counted for ever
        }
    }

    private void ended(Attempt attempt, AttemptEnd end, long now) {
        Flight flight = flights.get(attempt.exchange());
        meters.attemptEnded(end.kind().name());
        boolean current = flight != null && flight.attempt() == attempt;
        judge.learn(attempt, end, now);
        if (!current) {
            return;
        }
        if (OverdueRuns.hasBegun(flight, attempt)) {
            begun(flight, attempt, now); // a short stream ends between two ticks
        }
        dispatcher.unload(flight);
        flight.endAttempt(end.kind().surelyNotRun());
        if (attempt.path().isPresent() && !end.kind().surelyNotRun()) {
            flight.firsts().add(attempt.server().id());
        }
        switch (end.kind()) {
            case RELAYED -> complete(flight, end, now);
            case CLIENT_GONE -> drop(flight, "client gone", end.detail(), now);
            case ANSWERED -> answered(flight, attempt, end, now);
            default -> failed(flight, attempt, end, now);
        }
    }

    private void complete(Flight flight, AttemptEnd end, long now) {
        flight.exchange().complete(end.fields());
        finish(flight, "complete", end.status(), now);
    }

    private void answered(Flight flight, Attempt attempt, AttemptEnd end, long now) {
        // The client of a begun stream can be given no other status, so whatever a repeat is answered with, it goes on.
        boolean begun = flight.exchange().isCommitted();
        boolean failed = begun || end.status() >= SERVER_ERROR;
        if (failed && flight.route().mayRepeat() && sendsAgain(flight, attempt, end, now)) {
            return;
        }
        if (begun) {
            breakOff(flight, "a repeat was answered with status " + end.status(), now);
            return;
        }
        flight.exchange().answer(end.status(), end.fields(), end.body());
        finish(flight, "answered", end.status(), now);
    }

    /** Sends an answered request again; one that has not begun does not wait for it, as its answer can be passed on. */
    private boolean sendsAgain(Flight flight, Attempt attempt, AttemptEnd end, long now) {
        return flight.exchange().isCommitted()
                ? resender.tryAgain(flight, attempt, end, now)
                : resender.tryNow(flight, attempt, end, now);
    }

    private void failed(Flight flight, Attempt attempt, AttemptEnd end, long now) {
        judge.blame(attempt, end, now);
        flightLog.attemptFailed(flight, attempt, end, now);
        boolean mayRepeat = end.kind().surelyNotRun() || flight.route().mayRepeat();
        if (mayRepeat && resender.tryAgain(flight, attempt, end, now)) {
            return;
        }
        giveUp(flight, failure(flight), end.detail());
    }

    private static Refusal failure(Flight flight) {
        return flight.mayHaveRun() == 0 ? Refusal.OVERLOADED : Refusal.UNKNOWN;
    }

    private void giveUp(Flight flight, Refusal refusal, String why) {
        long now = clock.millis();
        if (flight.exchange().isCommitted()) {
            breakOff(flight, why, now);
            return;
        }
        flight.exchange().refuse(refusal, refusal.retryMillis());
        flightLog.refused(flight, refusal, why);
        finish(flight, "refused", refusal.status(), now);
    }

    private void breakOff(Flight flight, String why, long now) {
        drop(flight, why, "", now);
    }

    /** @param seen what showed that the client has gone; empty where it has not */
    private void drop(Flight flight, String why, String seen, long now) {
        flight.exchange().breakOff(why);
        flightLog.brokenOff(flight, why, seen, repeats.left(flight.service(), now), now);
        finish(flight, "broken", 0, now);
    }

    private void finish(Flight flight, String outcome, int status, long now) {
        dispatcher.unload(flight);
        resender.forget(flight);
        flights.remove(flight.exchange());
        underWay.decrementAndGet();
        flightLog.ended(flight, outcome, status, now);
    }

    private void registered(RouterEvent.Registered registered, long now) {
        Beliefs.Taken taken = beliefs.registered(registered, now);
        if (taken != Beliefs.Taken.NOTHING_NEW) {
            log.line("fleet", taken == Beliefs.Taken.RESTORED ? "restored" : "changed")
                    .with("end", registered.end())
                    .with("era", registered.era())
                    .with("servers", beliefs.registry().servers().size())
                    .with("leaving", beliefs.leavingCount())
                    .write();
            beliefs.forgetGone();
        }
    }

    private void storeAnswers(boolean answers, long now) {
        if (answers != storeAnswers) {
            storeAnswers = answers;
            log.line("store", answers ? "regained" : "lost").write();
        }
        beliefs.storeAnswers(answers, now);
    }

    private void reported(RouterEvent.Reported reported, long now) {
        boolean missed = reported.report().isLeft()
                && reported.report().getLeft().kind() != StoreFault.Kind.NOT_LISTENING
                && watch.isPassed(flights.values(), reported.engine().id(), now);
        if (missed) {
            flightLog.answerMissed(reported.engine(), beliefs.lagMillis());
            desk.askedTooSoon(reported.engine(), now);
        } else {
            judge.reported(reported.engine(), reported.report(), now);
        }
    }

    private void moved(RouterEvent.Moved moved, long now) {
        Flight flight = flights.get(moved.attempt().exchange());
        if (flight == null || flight.attempt() != moved.attempt()) {
            return;
        }
        flight.setMoving(false);
        meters.moved(moved.result().isRight());
        log.line("route", moved.result().isRight() ? "moved" : "not moved")
                .with("id", flight.exchange().call().id())
                .with("path", moved.path().text())
                .with("detail", moved.result().fold(MoveFault::toString, any -> ""))
                .write();
        if (moved.result().isRight()) {
            moved.attempt().movedTo(moved.path());
            dispatcher.load(flight, moved.path());
        } else {
            watch.notMoved(flight, moved.attempt(), moved.result().getLeft(), now);
        }
    }

    private void begun(Flight flight, Attempt attempt, long now) {
        dispatcher.promptRead(flight);
        overdue.begun(flight, attempt, now);
    }

    private void tick() {
        long now = clock.millis();
        beliefs.tickLate(lastTickMillis == 0 ? 0 : Math.max(0, now - lastTickMillis - TICK_MILLIS), now);
        lastTickMillis = now;
        for (Flight flight : List.copyOf(flights.values())) {
            checkTime(flight, now);
        }
        resumeWaiting(now);
        for (BackendServerId id : beliefs.suspicions().dueForProbe(now)) {
            beliefs.registry()
                    .server(id)
                    .filter(server -> !server.card().isEmpty())
                    .ifPresent(server -> desk.ask(server, this::offer));
        }
        watch.check(flights.values(), config.current(), now);
        if (beliefs.registry().expire(now)) {
            beliefs.forgetGone();
        }
        talk.prepare(now);
        view = beliefs.view(now);
    }

    /** Looks again for a server for a request that came before the servers were known. */
    private void resend(Flight flight, long now) {
        if (!resender.isWaiting(flight)) {
            send(flight, now);
        }
    }

    private void resumeWaiting(long now) {
        for (Flight flight : resender.takeOverdue(now)) {
            giveUp(flight, failure(flight), "no repeat and server in time");
        }
        resender.resume(now);
    }

    private void checkTime(Flight flight, long now) {
        Attempt attempt = flight.attempt();
        if (flight.exchange().hasClientLeft(now)) {
            if (attempt != null) {
                flight.endAttempt(false);
                attempt.cancel("the client has gone");
            }
            drop(flight, "client gone", flight.exchange().clientSeen(), now);
            return;
        }
        if (now >= flight.exchange().call().deadlineMillis()) {
            if (attempt != null) {
                flight.endAttempt(false);
                attempt.cancel("the deadline has passed");
            }
            giveUp(flight, flight.mayHaveRun() == 0 ? Refusal.NOT_RUN_IN_TIME : Refusal.TIMED_OUT, "deadline");
        } else if (attempt == null) {
            resend(flight, now);
        } else if (OverdueRuns.hasBegun(flight, attempt)) {
            begun(flight, attempt, now);
        } else {
            overdue.reason(flight, attempt, now).ifPresent(attempt::cancel);
        }
    }
}
