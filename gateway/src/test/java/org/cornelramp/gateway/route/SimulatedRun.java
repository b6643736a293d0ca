package org.cornelramp.gateway.route;

import java.io.IOException;
import java.net.ConnectException;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.eclipse.jetty.http.HttpFields;

/** A request that a server of a {@link RouterHistory} has received. Used by one thread. */
final class SimulatedRun {
    private final FakeHttpClient.Call call;
    private final SimulatedServer server;
    private final FakeClient client;
    private final String id;
    private final Share received;
    private List<Share> shares;
    private int next;
    private boolean withinEvent;
    private boolean answering;
    private boolean delivered;
    private boolean refused;
    private boolean lost;

    /** The work of one server on the run, which is lost when the server dies. */
    record Share(SimulatedServer server, int deaths) {
        Share(SimulatedServer server) {
            this(server, server.deaths());
        }

        boolean isAlive() {
            return server.isWell() && server.deaths() == deaths;
        }

        /** Whether the gateway may consider the server lost. */
        boolean isDoubted() {
            return server.isDoubted() || server.deaths() != deaths;
        }
    }

    /** @param servers the servers that run the request; the first receives it */
    SimulatedRun(FakeHttpClient.Call call, List<SimulatedServer> servers, FakeClient client) {
        this.call = call;
        this.server = servers.get(0);
        this.received = new Share(server);
        this.shares = servers.stream().map(Share::new).toList();
        this.client = client;
        this.id = HeaderFixtures.requestId(call::header);
        this.next = HeaderFixtures.firstEventId(call::header);
    }

    /** The text of one event of a request's stream. */
    static String event(String id, int number) {
        return "id: " + number + "\ndata: " + id + "-" + number + "\n\n";
    }

    /** The text of the first events of a request's stream. */
    static String events(String id, int count) {
        return IntStream.range(0, count).mapToObj(number -> event(id, number)).collect(Collectors.joining());
    }

    SimulatedServer server() {
        return server;
    }

    /** The work of the server that received the request. */
    Share received() {
        return received;
    }

    FakeClient client() {
        return client;
    }

    boolean isOpen() {
        return !call.isEnded();
    }

    /** Whether the servers can still do something for the request. */
    boolean canAct() {
        return isOpen() && !lost && shares.stream().allMatch(Share::isAlive);
    }

    /** Whether nothing more comes although the server that received the request works. */
    boolean isLost() {
        return lost;
    }

    /** Moves the run to other servers. */
    void move(List<SimulatedServer> servers) {
        shares = servers.stream().map(Share::new).toList();
    }

    boolean isAborted() {
        return call.isAborted();
    }

    /** Whether the head of the response has been sent. */
    boolean isAnswering() {
        return answering;
    }

    /** Whether the client has received an event of this run. */
    boolean hasDelivered() {
        return delivered;
    }

    /** Whether the gateway knows that the request has not run. */
    boolean surelyNotRun() {
        return refused;
    }

    /** Whether all events have been sent. */
    boolean isFinished() {
        return next >= RouterHistory.EVENTS;
    }

    void sendEvent(Runnable beforeWrite) {
        answering = true;
        int before = client.received().length();
        String text = event(id, next);
        call.events(id, withinEvent ? text.substring(text.length() / 2) : text, beforeWrite);
        withinEvent = false;
        next++;
        delivered |= client.received().length() > before;
    }

    void sendHalfEvent() {
        answering = true;
        String text = event(id, next);
        call.events(id, text.substring(0, text.length() / 2));
        withinEvent = true;
    }

    boolean isWithinEvent() {
        return withinEvent;
    }

    void complete() {
        call.complete(200, HeaderFixtures.answer(id));
    }

    void refuse(HttpFields fields) {
        refused = true;
        call.complete(503, fields);
    }

    void answer(int status, HttpFields fields) {
        call.complete(status, fields);
    }

    void refuseConnection() {
        refused = true;
        call.fail(new ConnectException("refused"));
    }

    void cut() {
        call.fail(new IOException("reset"));
    }

    /** Loses everything that the server sends from now on. */
    void loseAnswer() {
        lost = true;
    }

    String id() {
        return id;
    }
}
