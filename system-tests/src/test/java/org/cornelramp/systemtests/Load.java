package org.cornelramp.systemtests;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetException;
import org.cornelramp.bench.fleet.Member;
import org.cornelramp.bench.load.CallEnd;
import org.cornelramp.bench.load.Callers;
import org.cornelramp.bench.load.ChatCall;
import org.cornelramp.bench.load.ExpectedText;
import org.cornelramp.bench.load.Sample;
import org.cornelramp.bench.load.ServiceCallPlan;

/** Steady load on a fleet from a thread of its own, until it is stopped. Safe for use by any thread. */
final class Load implements AutoCloseable {
    private static final long GAP_MILLIS = 25;
    private static final long DEADLINE_MILLIS = 20_000;
    private static final int TOKENS = 40;

    private final Callers callers;
    private final boolean chats;
    private final int entries;
    private final List<Sample> samples = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "load");
    private volatile boolean stopped;
    private int sent;

    private Load(Fleet fleet, boolean chats) {
        this.chats = chats;
        List<String> urls = fleet.entries().stream().map(Member::url).toList();
        this.entries = urls.size();
        this.callers = new Callers(urls, Fleet::callerKey, new ExpectedText(Processes.layers()));
    }

    /** Starts bookings, and streamed chat requests as well if the fleet has engines. */
    static Load start(Fleet fleet) {
        Load load = new Load(fleet, !fleet.stages().isEmpty());
        load.thread.start();
        return load;
    }

    /** Waits until as many more requests have been answered, so that a fault strikes in the midst of work. */
    void awaitAnswered(int more) {
        long before = answered();
        Fleet.await(more + " more answers", Processes.LIMIT, () -> answered() >= before + more);
    }

    /** Stops the load, waits for every final word and gives them all. */
    List<Sample> finish() {
        stopped = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("Interrupted while waiting for the load", e);
        }
        Fleet.await("the last answers", Processes.LIMIT, () -> open() == 0);
        return samples();
    }

    /** The requests that did not end with a whole, correct answer or an honest refusal. */
    static List<Sample> lost(List<Sample> samples) {
        return samples.stream()
                .filter(s -> !s.end().isAnswered() && s.end() != CallEnd.NOT_RUN)
                .collect(Collectors.toUnmodifiableList());
    }

    @Override
    public void close() {
        stopped = true;
        callers.close();
    }

    private void run() {
        for (int i = 0; !stopped; i++) {
            long due = System.nanoTime();
            count();
            if (chats && i % 2 == 0) {
                callers.chat(new ChatCall(0, i / 2 % entries, "quote " + i, TOKENS, DEADLINE_MILLIS), due, this::add);
            } else {
                String body = "{\"booking\":" + i + "}";
                callers.book(new ServiceCallPlan(0, i / 2 % entries, body, DEADLINE_MILLIS), due, this::add);
            }
            Processes.pause(GAP_MILLIS);
        }
    }

    private synchronized void count() {
        sent++;
    }

    private synchronized void add(Sample sample) {
        samples.add(sample);
    }

    private synchronized int open() {
        return sent - samples.size();
    }

    private synchronized long answered() {
        return samples.stream().filter(s -> s.end().isAnswered()).count();
    }

    private synchronized List<Sample> samples() {
        return List.copyOf(samples);
    }
}
