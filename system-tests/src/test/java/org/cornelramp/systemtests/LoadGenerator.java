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

/** Sends requests to a fleet at a constant rate from its own thread until stopped. Safe for use by any thread. */
final class LoadGenerator implements AutoCloseable {
    private static final long REQUEST_INTERVAL_MILLIS = 25;
    private static final long DEADLINE_MILLIS = 20_000;
    private static final int TOKENS = 40;

    private final Callers callers;
    private final boolean sendChats;
    private final int entries;
    private final List<Sample> samples = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "load");
    private volatile boolean stopped;
    private int sent;

    private LoadGenerator(Fleet fleet, boolean chats) {
        this.sendChats = chats;
        List<String> urls = fleet.entries().stream().map(Member::url).toList();
        this.entries = urls.size();
        this.callers = new Callers(urls, Fleet::callerKey, new ExpectedText(FleetActions.layers()));
    }

    /** Starts bookings, and streamed chat requests as well if the fleet has engines. */
    static LoadGenerator start(Fleet fleet) {
        LoadGenerator load = new LoadGenerator(fleet, !fleet.stages().isEmpty());
        load.thread.start();
        return load;
    }

    /** Waits until this many more requests have been answered, so that a fault is injected under load. */
    void awaitAnswered(int more) {
        long before = answered();
        Fleet.await(more + " more responses", FleetActions.AWAIT_TIMEOUT, () -> answered() >= before + more);
    }

    /** Stops sending, waits until every request has ended and returns all samples. */
    List<Sample> finish() {
        stopped = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("Interrupted while waiting for the load generator to stop", e);
        }
        Fleet.await("the last responses", FleetActions.AWAIT_TIMEOUT, () -> inFlight() == 0);
        return samples();
    }

    /** The requests that ended neither with a complete, correct response nor with a refusal as not run. */
    static List<Sample> failed(List<Sample> samples) {
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
            long dueNanos = System.nanoTime();
            countSent();
            if (sendChats && i % 2 == 0) {
                callers.chat(
                        new ChatCall(0, i / 2 % entries, "quote " + i, TOKENS, DEADLINE_MILLIS),
                        dueNanos,
                        this::addSample);
            } else {
                String body = "{\"booking\":" + i + "}";
                callers.book(new ServiceCallPlan(0, i / 2 % entries, body, DEADLINE_MILLIS), dueNanos, this::addSample);
            }
            FleetActions.pause(REQUEST_INTERVAL_MILLIS);
        }
    }

    private synchronized void countSent() {
        sent++;
    }

    private synchronized void addSample(Sample sample) {
        samples.add(sample);
    }

    private synchronized int inFlight() {
        return sent - samples.size();
    }

    private synchronized long answered() {
        return samples.stream().filter(s -> s.end().isAnswered()).count();
    }

    private synchronized List<Sample> samples() {
        return List.copyOf(samples);
    }
}
