package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Consumers on kept channels send bookings to a gateway that has got SIGTERM. The gateway takes bookings until shortly
 * before its end, passes them on, and ends while replicas run them.
 */
final class PlannedStop {
    /** Time to run a booking; within its route's timeout. */
    private static final long WORK_MILLIS = 2_200;

    private static final long TIMEOUT_MILLIS = 3_000;
    private static final long GRACE_MILLIS = 8_000;

    /** Bookings sent no later than this after SIGTERM are excused if their replica is still at work at the end. */
    private static final long EXCUSED_UNTIL_MILLIS = 3_000;

    /** When each consumer sends its booking, after SIGTERM. */
    private static final long[] SEND_MILLIS = {
        200, 1_200, 2_200, 3_200, 4_200, 5_000, 5_500, 5_600, 5_700, 5_800, 5_900, 6_000, 6_100, 6_200
    };

    /** What a consumer saw of its booking, with times after SIGTERM. */
    private record Booking(String id, long sentMillis, long endMillis, boolean complete, String how) {}

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
        Queue<String> received = new ConcurrentLinkedQueue<>();
        for (int i = 0; i < 3; i++) {
            PlainServer server = new PlainServer("i-plain" + i, Deployment.PLAIN, 6, 24, 86) {
                @Override
                void run(Socket connection, Received request, OutputStream out)
                        throws IOException, InterruptedException {
                    if (request.path().startsWith("/puxa403/")) {
                        lab.note("replica " + id + " begins to run " + request.requestId());
                        received.add(request.requestId());
                        Thread.sleep(WORK_MILLIS);
                        lab.note("replica " + id + " has run " + request.requestId());
                    }
                    super.run(connection, request, out);
                }
            };
            lab.store.register(server.id, server.registration("ready"));
        }
        lab.store.publishConfig(Deployment.manifest(
                7,
                Deployment.route("/puxa403/", "unsafe", TIMEOUT_MILLIS, 1),
                Deployment.route("/cufi504/", "safe", 1_500, 2)));
        Lab.Gateway gateway = lab.startGateway("front-1");
        Lab.sleep(4_000);
        List<Socket> channels = new ArrayList<>();
        for (int i = 0; i < SEND_MILLIS.length; i++) {
            Socket channel = Consumer.connect(gateway.requests, 0);
            channel.setSoTimeout((int) TIMEOUT_MILLIS + 2_000);
            String how = call(channel, "GET", "/cufi504/fi50/2f", "look-" + i, 1_500);
            lab.note("channel " + i + " opened, its first request: " + how);
            channels.add(channel);
        }
        long stop = lab.millis();
        if (lab.trouble) {
            gateway.signal("TERM");
            lab.note("SIGTERM to the gateway; SIGKILL would follow " + GRACE_MILLIS + " ms later");
        }
        List<Booking> bookings = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SEND_MILLIS.length; i++) {
            int number = i;
            Thread thread = new Thread(() -> {
                Lab.sleep(stop + SEND_MILLIS[number] - lab.millis());
                long sent = lab.millis() - stop;
                String how;
                try (Socket channel = channels.get(number)) {
                    how = call(channel, "POST", "/puxa403/2f", "booking-" + number, TIMEOUT_MILLIS);
                } catch (IOException e) {
                    how = e.toString();
                }
                bookings.add(new Booking(
                        "booking-" + number, sent, lab.millis() - stop, how.startsWith("status"), how));
            });
            thread.start();
            threads.add(thread);
        }
        if (lab.trouble) {
            gateway.process.waitFor();
            lab.note("the gateway has ended " + (lab.millis() - stop) + " ms after SIGTERM");
        }
        for (Thread thread : threads) {
            thread.join();
        }
        Lab.sleep(500);
        int lost = 0;
        for (Booking booking : bookings) {
            boolean passedOn = received.contains(booking.id());
            boolean timedOut = booking.endMillis() - booking.sentMillis() >= TIMEOUT_MILLIS;
            boolean counts = !booking.complete() && passedOn && !timedOut
                    && booking.sentMillis() > EXCUSED_UNTIL_MILLIS;
            lab.note((counts ? "LOST " : "     ") + booking + " run by a replica: " + passedOn);
            lost += counts ? 1 : 0;
        }
        return lab.verdict(lost > 0, lost + " bookings were passed on to a replica, ran, and their channel ended"
                + " without an answer before their timeout");
    }

    /** Sends a request on a kept channel; returns what came back. */
    private static String call(Socket channel, String method, String path, String id, long deadlineMillis)
            throws IOException {
        channel.getOutputStream()
                .write(Consumer.head(method, path, id, deadlineMillis, "", 0).getBytes(StandardCharsets.US_ASCII));
        InputStream in = new BufferedInputStream(channel.getInputStream());
        Http.Head head = Http.readHead(in);
        if (head == null) {
            return "closed without an answer";
        }
        byte[] body = Http.readBody(in, head);
        boolean sealed = head.field("x-server-seal") != null;
        boolean own = Arrays.equals(body, PlainServer.answerTo(id, body.length));
        return "status " + head.status() + (sealed ? (own ? " of a server" : " with a foreign body") : " of the gateway");
    }
}
