package org.cornelramp.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Gateways that admit streams of three priorities to a few paths whose pauses grow with the streams on them. A gateway
 * sees its own streams at once and those of the others 120 to 360 ms later; one gateway alone sees everything.
 */
final class ScarceFleet {
    static final int PATHS = 4;
    static final double PAUSE_LIMIT = 300;
    /** Streams a second that the paths carry at the limit of 60 streams each, of 20 events in 6 s. */
    static final double CAPACITY = PATHS * 10;

    private static final int TICK = 10;
    private static final int EVENTS = 20;
    private static final double[] PART = {0.487, 0.318, 0.195};
    private static final long[] TARGET = {501, 601, 1_201};
    private static final double[] VALUE = {2.8, 1.4, 0.74};
    private static final double[] LATE_PART = {0.29, 0.36, 0.28};

    final List<Stream> all = new ArrayList<>();
    private final Random random;
    private final List<Gateway> gateways = new ArrayList<>();
    private final double[] arrivalRate = new double[PART.length];
    long now;

    static final class Stream {
        final int priority;
        final long arrival;
        long start = -1;
        boolean late;
        double progress;
        int path;

        Stream(int priority, long arrival) {
            this.priority = priority;
            this.arrival = arrival;
        }

        double value() {
            return start < 0 ? 0 : VALUE[priority] * (late ? LATE_PART[priority] : 1);
        }

        boolean onTime() {
            return start >= 0 && !late;
        }
    }

    private static final class Gateway {
        final AdmissionQueue<Stream> queue = new AdmissionQueue<>(256);
        final AdmissionPolicy policy = new AdmissionPolicy();
        final List<Stream> running = new ArrayList<>();
        final RecentStarts<Integer> starts = new RecentStarts<>();
        final int[] others = new int[PATHS];
        int[] pending = new int[PATHS];
    }

    ScarceFleet(int gatewayCount, long seed) {
        random = new Random(seed);
        for (int i = 0; i < gatewayCount; i++) {
            gateways.add(new Gateway());
        }
    }

    /** Runs for some time at a part of the capacity. */
    void run(long millis, double load) {
        for (long end = now + millis; now < end; now += TICK) {
            int[] onPath = new int[PATHS];
            gateways.forEach(g -> g.running.forEach(s -> onPath[s.path]++));
            gateways.forEach(g -> progress(g.running, onPath));
            for (int i = 0; i < gateways.size(); i++) {
                if ((now + i * 30L) % 120 == 0) {
                    update(gateways.get(i));
                }
            }
            for (int p = 0; p < PART.length; p++) {
                double mean = load * CAPACITY * PART[p] * TICK / 1e3;
                int arrivals = 0;
                for (double left = Math.exp(-mean), x = random.nextDouble(); x > left; x *= random.nextDouble()) {
                    arrivals++;
                }
                arrivalRate[p] += (arrivals * 1e3 / TICK - arrivalRate[p]) * TICK / 1e3;
                for (int i = 0; i < arrivals; i++) {
                    offer(gateways.get(random.nextInt(gateways.size())), new Stream(p, now));
                }
            }
            gateways.forEach(this::admit);
        }
    }

    private void update(Gateway gateway) {
        System.arraycopy(gateway.pending, 0, gateway.others, 0, PATHS);
        gateway.pending = new int[PATHS];
        for (Gateway other : gateways) {
            other.running.forEach(s -> gateway.pending[s.path] += other == gateway ? 0 : 1);
        }
    }

    private void progress(List<Stream> running, int[] onPath) {
        for (Stream s : running) {
            double pause = pause(onPath[s.path]);
            s.progress += TICK / pause;
            s.late |= pause > PAUSE_LIMIT;
        }
        running.removeIf(s -> s.progress >= EVENTS);
    }

    private static double pause(double streams) {
        return 120 + 3 * streams;
    }

    private void offer(Gateway g, Stream s) {
        all.add(s);
        long patience = Math.max(2_400, 4 * TARGET[s.priority]);
        g.queue.setFirstEventMillis(350);
        WaitingRequest<Stream> request = new WaitingRequest<>(
                all.size(), s.priority, Optional.empty(), 1, now, now + TARGET[s.priority], now + patience, s);
        g.queue.offer(request, now);
    }

    private void admit(Gateway g) {
        g.queue.expire(now);
        for (WaitingRequest<Stream> request : g.queue.inOrder(now)) {
            double[] seen = new double[PATHS];
            for (int p = 0; p < PATHS; p++) {
                seen[p] = g.others[p] + g.starts.expectedUnseen(p, gateways.size() - 1, 240, now);
            }
            g.running.forEach(s -> seen[s.path]++);
            int best = 0;
            for (int p = 1; p < PATHS; p++) {
                best = seen[p] < seen[best] ? p : best;
            }
            double pause = pause(seen[best] + 1);
            double urgent = 0;
            for (int p = 0; p < request.priority(); p++) {
                urgent += arrivalRate[p];
            }
            Prospect prospect = new Prospect(
                    request.priority(),
                    pause,
                    PAUSE_LIMIT,
                    50 + pause,
                    request.targetMillis() - now,
                    TARGET[request.priority()],
                    request.patienceMillis() - now,
                    new Prospect.Reserve(
                            urgent, arrivalRate[request.priority()], Prospect.Reserve.USUAL_HORIZON_MILLIS, PATHS, 3),
                    g.queue.standing(request, now),
                    g.queue.isOnTimeWaiting(request.priority(), now));
            if (g.policy.judge(prospect).admits()) {
                Stream s = request.work();
                s.start = now;
                s.path = best;
                s.late = now + 50 + pause > request.targetMillis();
                g.running.add(s);
                g.starts.record(best, now);
                g.queue.recordAdmitted(request, now);
            }
        }
    }
}
