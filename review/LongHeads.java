package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.platform.standin.StandInBackend;
import org.cornelramp.platform.standin.StandInConfig;
import org.cornelramp.platform.standin.StandInFleet;

/**
 * Streams of two kinds at one model service: first turns with a short head, and later turns of long sessions, whose head
 * lists all parts of the prompt. With trouble the longer heads have 9 to 14 KB, else half of that; 16 KB are permitted.
 */
final class LongHeads {
    private static final int PAIRS = 60;
    private static final long PAUSE_MILLIS = 200;
    private static final long DEADLINE_MILLIS = 9_000;

    /** A part of a prompt in the head takes 13 bytes. */
    private static final int MIN_PARTS = 700;

    private static final int MORE_PARTS = 400;

    public static void main(String[] args) throws Exception {
        int code = Lab.NOT_RUN;
        try (Lab lab = new Lab(Path.of(args[0]))) {
            code = run(lab);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int run(Lab lab) throws Exception {
        StandInConfig config = StandInConfig.small(7);
        StandInFleet fleet = new StandInFleet();
        for (int i = 0; i < 3; i++) {
            int port = Lab.freePort();
            new StandInBackend(lab.store, fleet, config, "engine" + i, "dc1", true, port, new HostPort("127.0.0.1", port))
                    .startIncarnation();
        }
        String chat = "{\"name\":\"chat\",\"host\":\"127.0.0.1\",\"pathPrefix\":\"/chat/\"";
        String json = config.json();
        int at = json.indexOf(chat);
        String route = json.substring(at, json.indexOf("}", at) + 1);
        lab.store.publishConfig(json.replace(
                route, route + "," + route.replace("\"chat\"", "\"session\"").replace("/chat/", "/session/")));
        Lab.Gateway gateway = lab.startGateway("front-1");
        Lab.sleep(5_000);
        List<Consumer.Seen> first = new CopyOnWriteArrayList<>();
        List<Consumer.Seen> later = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < PAIRS; i++) {
            int number = i;
            int parts = (MIN_PARTS + i * MORE_PARTS / PAIRS) / (lab.trouble ? 1 : 2);
            threads.add(started(() -> first.add(stream(lab, gateway.requests, "/chat/2f", "first-" + number, 3))));
            Lab.sleep(PAUSE_MILLIS / 2);
            threads.add(started(() -> later.add(stream(lab, gateway.requests, "/session/2f", "later-" + number, parts))));
            Lab.sleep(PAUSE_MILLIS / 2);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        first.forEach(one -> lab.note(one.toString()));
        later.forEach(one -> lab.note(one.toString()));
        Lab.lines(gateway, "too large", 3).forEach(line -> lab.note("gateway: " + line));
        long servedFirst = first.stream().filter(LongHeads::served).count();
        long servedLater = later.stream().filter(LongHeads::served).count();
        long arrived = fleet.observedRequests().stream()
                .filter(arrival -> arrival.requestId().startsWith("later-"))
                .count();
        double all = (servedFirst + servedLater) / (2.0 * PAIRS);
        return lab.verdict(
                servedLater / (double) PAIRS < all / 4,
                "served " + servedFirst + " of " + PAIRS + " first turns and " + servedLater + " of " + PAIRS
                        + " later turns; arrivals of later turns at replicas: " + arrived);
    }

    private static boolean served(Consumer.Seen seen) {
        return seen.status() == 200 && seen.sealed() && seen.whole();
    }

    private static Thread started(Runnable work) {
        Thread thread = new Thread(work);
        thread.start();
        return thread;
    }

    private static Consumer.Seen stream(Lab lab, int port, String path, String id, int parts) {
        StringBuilder prefix = new StringBuilder();
        for (int part = 0; part < parts; part++) {
            prefix.append(part == 0 ? "" : ",").append(String.format("%08x:20", (id + part).hashCode()));
        }
        String head = "POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
                + DEADLINE_MILLIS + "\r\nAuthorization: Token " + StandInConfig.KEY + "\r\nX-Model: m\r\nX-Token-Counts: "
                + parts * 20 + ",40\r\nX-Prompt-Prefix: " + prefix + "\r\nContent-Length: 0\r\n\r\n";
        long sent = lab.millis();
        try (Socket socket = Consumer.connect(port, 0)) {
            socket.setSoTimeout((int) DEADLINE_MILLIS + 1_000);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head answer = Http.readHead(in);
            if (answer == null) {
                return new Consumer.Seen(id, sent, lab.millis(), 0, false, false, "closed without an answer");
            }
            Http.readBody(in, answer);
            boolean sealed = answer.field("x-server-seal") != null;
            return new Consumer.Seen(
                    id,
                    sent,
                    lab.millis(),
                    answer.status(),
                    sealed,
                    true,
                    "status " + answer.status() + (sealed ? " of a server" : " of the gateway") + ", head of "
                            + head.length() + " bytes");
        } catch (IOException e) {
            return new Consumer.Seen(id, sent, lab.millis(), 0, false, false, "broken: " + e);
        }
    }
}
