package org.cornelramp.gateway.route;

import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.PlatformFault;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;

/**
 * One request whose answer ends after some of its bytes, and what its client gets. All other servers work and answer
 * completely. Used by one thread.
 */
final class CutAnswer {
    /** The connection ends before the head of the answer. */
    static final int BEFORE_HEAD = -1;

    private static final int EVENTS = 4;
    private static final String BODY = "the whole body of a plain server";
    private static final String ID = "r1";
    private static final int LAYERS = 8;

    /** Longer than the time budget of each route. */
    private static final long END_MILLIS = 12_000;

    /** Time in which a server with a silent stream is asked for its report. */
    private static final long REPORT_MILLIS = 1_000;

    /** Time after which the client has the end of a whole answer of a living server. */
    private static final long WHOLE_MILLIS = 200;

    /** What the request asks for. Immutable, safe for use by any thread. */
    enum Kind {
        RESUMABLE_STREAM("/chat/a", true),
        /** A resumable stream whose first run is reset after its first event; its second run is the one that ends. */
        RESUMED_STREAM("/chat/a", true),
        /** A stream that its client resumes after the first event. */
        CONTINUED_STREAM("/chat/a", true),
        /** A stream on a route without stream resumption. */
        STREAM("/chat/a", false),
        SAFE_BODY("/look/a", true),
        UNSAFE_BODY("/book/a", false);

        private final String path;
        private final boolean repeatable;

        Kind(String path, boolean repeatable) {
            this.path = path;
            this.repeatable = repeatable;
        }

        private int firstEventOfCutRun() {
            return this == RESUMED_STREAM || this == CONTINUED_STREAM ? 1 : 0;
        }

        boolean isStream() {
            return path.equals("/chat/a");
        }
    }

    /** What becomes of the server when the connection ends. Immutable, safe for use by any thread. */
    enum Fate {
        LIVES(Optional.empty(), Optional.empty()),
        RESETS(Optional.empty(), Optional.empty()),
        CRASHES(Optional.of(PlatformFault.Kind.NOT_LISTENING), Optional.of(PlatformFault.Kind.NOT_LISTENING)),
        /** Its supervisor accepts connections and closes them at once. */
        CRASHES_BEHIND_RELAY(Optional.empty(), Optional.of(PlatformFault.Kind.NO_ANSWER)),
        /** It crashes between its answer to a request for its report and the arrival of that answer. */
        CRASHES_AFTER_REPORT(
                Optional.of(PlatformFault.Kind.NOT_LISTENING), Optional.of(PlatformFault.Kind.NOT_LISTENING)),
        /** It crashes, and another incarnation listens at its address at once. */
        IS_REPLACED(Optional.empty(), Optional.of(PlatformFault.Kind.CONFLICT)),
        /** It answers nothing from then on. */
        GOES_DARK(Optional.of(PlatformFault.Kind.NO_ANSWER), Optional.of(PlatformFault.Kind.NO_ANSWER));

        private final Optional<PlatformFault.Kind> connectFault;
        private final Optional<PlatformFault.Kind> reportFault;

        Fate(Optional<PlatformFault.Kind> connectFault, Optional<PlatformFault.Kind> reportFault) {
            this.connectFault = connectFault;
            this.reportFault = reportFault;
        }

        /** Whether the server has ended, so that an end of its stream is no end of the answer. */
        boolean isCrash() {
            return this != LIVES && this != RESETS && this != GOES_DARK;
        }

        /** Whether the server gives no further sign of life. */
        boolean isUnheard() {
            return isCrash() || this == GOES_DARK;
        }
    }

    /**
     * Immutable, safe for use by any thread.
     *
     * @param engines number of engines on the path of a stream; the last of two has the fate, and the first lives and
     *     ends the stream
     */
    record Scenario(Kind kind, FakeHttpClient.Framing framing, Fate fate, int engines) {
        @Override
        public String toString() {
            return kind + " " + framing + " " + fate + (engines > 1 ? " at the second engine" : "");
        }
    }

    private final Scenario scenario;
    private final int position;
    private final RouterSimulation router =
            new RouterSimulation(StandInConfig.small(1), GatewayFixture.MANY_RETRIES, 1);
    private final FakeClient client;
    private FakeHttpClient.Call cut;
    private byte[] body;
    private int victimPort;
    private boolean ended;
    private long endMillis;
    private int handled;
    private String early = "";

    /** @param position number of bytes of the body that are sent; {@link #BEFORE_HEAD} for no head either */
    CutAnswer(Scenario scenario, int position) {
        this.scenario = scenario;
        this.position = position;
        if (scenario.kind() == Kind.STREAM) {
            router.publish(StandInConfig.small(2).jsonWithoutStreamResumption());
        }
        int share = LAYERS / scenario.engines();
        for (int copy = 0; copy < 3; copy++) {
            for (int part = 0; part < scenario.engines(); part++) {
                int port = 11 + copy * scenario.engines() + part;
                router.register(RouterSimulation.engine("e" + port, port, part * share, (part + 1) * share));
            }
            router.register(TestServers.plain("p" + copy, 31 + copy));
        }
        client = scenario.kind() == Kind.CONTINUED_STREAM
                ? router.resume(scenario.kind().path, ID, 0)
                : router.request(scenario.kind().path, ID);
        router.settle();
    }

    /** Highest position: the whole answer and the mark of its end. */
    static int lastPosition(Kind kind) {
        return (kind.isStream() ? events(kind.firstEventOfCutRun()) : BODY).length() + 1;
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: piece " + id + "\n\n";
    }

    private static String events(int from) {
        return IntStream.range(from, EVENTS).mapToObj(CutAnswer::event).collect(Collectors.joining());
    }

    private static String answerTo(FakeHttpClient.Call call) {
        return HeaderFixtures.enginePorts(call::header).isEmpty()
                ? BODY
                : events(HeaderFixtures.firstEventId(call::header));
    }

    /** Runs the request to its end. Returns what is wrong with what the client got; empty if nothing is. */
    Optional<String> run() {
        cut = nextCall();
        if (scenario.kind() == Kind.RESUMED_STREAM) {
            cut.events(ID, event(0));
            cut.reset();
            cut = nextCall();
        }
        victimPort = cut.port();
        if (scenario.engines() > 1) {
            victimPort = HeaderFixtures.enginePorts(cut::header).get(1);
        }
        router.setReportFaults(this::answerReport);
        router.setConnectFaults(server -> isVictim(server) ? toFault(scenario.fate().connectFault) : Optional.empty());
        send();
        for (long until = router.now() + END_MILLIS; router.now() < until && router.activeRequests() > 0; ) {
            router.tick();
            router.settle();
            answerCalls();
            router.settle();
        }
        return fault(router.now() - endMillis);
    }

    private FakeHttpClient.Call nextCall() {
        for (long until = router.now() + END_MILLIS;
                router.now() < until && router.calls().size() <= handled; ) {
            router.tick();
            router.settle();
        }
        return router.calls().get(handled++);
    }

    private void send() {
        body = answerTo(cut).getBytes(StandardCharsets.UTF_8);
        cut.setFraming(scenario.framing());
        if (position > BEFORE_HEAD) {
            cut.begin(HeaderFixtures.answer(ID), body, Math.min(position, body.length));
        }
        router.settle();
        early = client.received();
        if (scenario.fate() == Fate.CRASHES_AFTER_REPORT) {
            for (long until = router.now() + REPORT_MILLIS; router.now() < until && !ended; ) {
                router.tick();
                router.settle();
            }
        }
        endConnection();
        router.settle();
    }

    private void endConnection() {
        if (ended) {
            return;
        }
        ended = true;
        endMillis = router.now();
        if (isWholeFramed()) {
            cut.finish();
        } else if (scenario.fate() == Fate.RESETS) {
            cut.reset();
        } else {
            cut.close();
        }
    }

    private boolean isWholeFramed() {
        return switch (scenario.framing()) {
            case CHUNKED -> position > body.length;
            case LENGTH -> position >= body.length;
            case UNFRAMED -> false;
        };
    }

    private boolean isVictim(BackendServer server) {
        return ended && server.address().port() == victimPort;
    }

    private Optional<PlatformFault> answerReport(BackendServer server) {
        boolean dead = isVictim(server);
        if (server.address().port() == victimPort && scenario.fate() == Fate.CRASHES_AFTER_REPORT) {
            endConnection();
        }
        return dead ? toFault(scenario.fate().reportFault) : Optional.empty();
    }

    private Optional<PlatformFault> toFault(Optional<PlatformFault.Kind> kind) {
        return kind.map(present -> new PlatformFault(present, scenario.fate().name()));
    }

    private void answerCalls() {
        while (handled < router.calls().size()) {
            answer(router.calls().get(handled++));
        }
    }

    private void answer(FakeHttpClient.Call call) {
        Fate fate = scenario.fate();
        List<Integer> ports = HeaderFixtures.enginePorts(call::header);
        if (call.port() == victimPort && fate.isUnheard()) {
            switch (fate) {
                case IS_REPLACED -> call.complete(421, HeaderFixtures.answer(ID));
                case CRASHES_BEHIND_RELAY -> call.fail(new EOFException("the connection was closed"));
                case GOES_DARK -> call.fail(new IOException("no answer"));
                default -> call.fail(new ConnectException("Connection refused"));
            }
        } else if (ports.contains(victimPort) && fate.isUnheard()) {
            call.complete(503, HeaderFixtures.naming("127.0.0.1:" + victimPort, HeaderFixtures.refusal(ID)));
        } else {
            byte[] whole = answerTo(call).getBytes(StandardCharsets.UTF_8);
            call.begin(HeaderFixtures.answer(ID), whole, whole.length);
            call.finish();
        }
    }

    private Optional<String> fault(long endedAfterMillis) {
        boolean late = isEndOfLivingServer() && endedAfterMillis > WHOLE_MILLIS;
        boolean runsTwice = !scenario.kind().repeatable && router.calls().size() > 1;
        boolean ok = hasAcceptableOutcome()
                && isPassedOnAsItArrives()
                && !runsTwice
                && !late
                && router.exceptions() == 0
                && router.activeRequests() == 0;
        return ok ? Optional.empty() : Optional.of(description(endedAfterMillis));
    }

    private String description(long endedAfterMillis) {
        return "at " + position + ": status " + client.status() + ", complete " + client.isComplete() + ", closed "
                + client.isClosed() + ", " + router.calls().size() + " runs, " + router.exceptions() + " exceptions, "
                + router.activeRequests() + " in progress, ended after " + endedAfterMillis + " ms, received "
                + client.received().replace("\n", "|")
                + ", of that before the end " + early.replace("\n", "|");
    }

    private boolean isPassedOnAsItArrives() {
        String whole = wholeAnswer();
        String sent = sentBody();
        int resumedAt = whole.length() - body.length;
        int wholeEvents = sent.lastIndexOf("\n\n") < 0 ? 0 : sent.lastIndexOf("\n\n") + 2;
        return !scenario.kind().isStream() || early.equals(whole.substring(0, resumedAt + wholeEvents));
    }

    /** What the client would get of servers without faults. */
    private String wholeAnswer() {
        return scenario.kind().isStream() ? events(scenario.kind() == Kind.CONTINUED_STREAM ? 1 : 0) : BODY;
    }

    private String sentBody() {
        return new String(body, 0, Math.max(0, Math.min(position, body.length)), StandardCharsets.UTF_8);
    }

    private boolean hasAcceptableOutcome() {
        if (isEndOfLivingServer()) {
            return hasAll(scenario.kind().isStream() ? early : sentBody());
        }
        String whole = wholeAnswer();
        if (hasAll(whole)) {
            return true;
        }
        boolean canRepeat = scenario.kind().repeatable && scenario.fate() != Fate.GOES_DARK;
        return !canRepeat && !isWholeFramed() && isVisiblyBroken(whole);
    }

    /** Whether a living server has ended an unframed answer where it may end. */
    private boolean isEndOfLivingServer() {
        String sent = sentBody();
        return scenario.framing() == FakeHttpClient.Framing.UNFRAMED
                && scenario.fate() == Fate.LIVES
                && position > BEFORE_HEAD
                && (!scenario.kind().isStream() || sent.isEmpty() || sent.endsWith("\n\n"));
    }

    private boolean hasAll(String expected) {
        return client.status() == 200
                && client.isComplete()
                && !client.isClosed()
                && client.received().equals(expected);
    }

    private boolean isVisiblyBroken(String whole) {
        boolean aborted = client.isClosed() && !client.isComplete() && whole.startsWith(client.received());
        boolean refused = client.status() >= 400 && client.isComplete() && early.isEmpty();
        return aborted || refused;
    }
}
