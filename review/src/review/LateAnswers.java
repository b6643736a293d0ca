package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Look-ups on a safe route that allows one replica for each, and bookings, at a service whose replicas turn slow. The
 * answers would come well within the timeouts.
 */
final class LateAnswers {
    private static final long USUAL_MILLIS = 86;
    private static final int SLOWDOWN = 8;
    private static final long TIMEOUT_MILLIS = 1_500;
    private static final int PAIRS = 92;

    /** Length of a disruption; there are two, with a pause between them. */
    private static final long SLOW_FOR_MILLIS = 9_000;

    private static final long RECOVERED_MILLIS = 500;
    private static final long PAUSE_MILLIS = 200;

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
        List<PlainServer> servers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            PlainServer server = new PlainServer("i-plain" + i, Deployment.PLAIN, 6, 24, USUAL_MILLIS) {
                @Override
                void run(Socket connection, Received request, OutputStream out)
                        throws IOException, InterruptedException {
                    super.run(connection, request, out);
                    lab.note("replica " + id + " has answered " + request.requestId());
                }
            };
            servers.add(server);
            lab.store.register(server.id, server.registration("ready"));
        }
        lab.store.publishConfig(Deployment.manifest(
                7,
                Deployment.route("/puxa403/", "unsafe", TIMEOUT_MILLIS, 1),
                Deployment.route("/cufi504/", "safe", TIMEOUT_MILLIS, 1)));
        Lab.Gateway gateway = lab.startGateway("front-1");
        Lab.sleep(1_500);
        if (lab.trouble) {
            PlainServer.start(() -> slowDownTwice(lab, servers), "disruption");
        }
        List<Consumer.Seen> lookups = new CopyOnWriteArrayList<>();
        List<Consumer.Seen> bookings = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < PAIRS; i++) {
            int number = i;
            threads.add(started(() -> lookups.add(Consumer.call(
                    lab, gateway.requests, "GET", "/cufi504/fi50/2f", "look-" + number, 1_500, new byte[0]))));
            Lab.sleep(PAUSE_MILLIS / 2);
            threads.add(started(() -> bookings.add(Consumer.call(
                    lab, gateway.requests, "POST", "/puxa403/2f", "booking-" + number, 1_500, new byte[600]))));
            Lab.sleep(PAUSE_MILLIS / 2);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        lookups.forEach(one -> lab.note(one.toString()));
        bookings.forEach(one -> lab.note(one.toString()));
        Lab.lines(gateway, "its answer is late", 4).forEach(line -> lab.note("gateway: " + line));
        long servedLookups = lookups.stream().filter(LateAnswers::served).count();
        long servedBookings = bookings.stream().filter(LateAnswers::served).count();
        double share = servedLookups / (double) PAIRS;
        double all = (servedLookups + servedBookings) / (2.0 * PAIRS);
        return lab.verdict(
                share < all / 4,
                "served " + servedLookups + " of " + PAIRS + " look-ups and " + servedBookings + " of " + PAIRS
                        + " bookings");
    }

    private static void slowDownTwice(Lab lab, List<PlainServer> servers) {
        for (int i = 0; i < 2; i++) {
            servers.forEach(server -> server.workMillis = USUAL_MILLIS * SLOWDOWN);
            lab.note("all replicas take " + SLOWDOWN + " times as long, for " + SLOW_FOR_MILLIS + " ms");
            Lab.sleep(SLOW_FOR_MILLIS);
            servers.forEach(server -> server.workMillis = USUAL_MILLIS);
            lab.note("all replicas are as fast as before");
            Lab.sleep(RECOVERED_MILLIS);
        }
    }

    private static boolean served(Consumer.Seen seen) {
        return seen.status() == 200 && seen.sealed() && seen.whole();
    }

    private static Thread started(Runnable work) {
        Thread thread = new Thread(work);
        thread.start();
        return thread;
    }
}
