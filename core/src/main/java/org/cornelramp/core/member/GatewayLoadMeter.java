package org.cornelramp.core.member;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Computes the load of this gateway from measurements that are taken about twice a second. Confined to one thread.
 *
 * <p>Invariant: the load covers about the last second; after a gap between measurements it is unknown until the window
 * is filled again.
 */
public final class GatewayLoadMeter {
    private static final long WINDOW_MILLIS = 1_000;

    /** Tolerates measurements that come somewhat early or late. */
    private static final long MIN_WINDOW_MILLIS = 800;

    private static final double NANOS_PER_MILLI = 1e6;

    private final double capacityCores;
    private final Deque<Measurement> measurements = new ArrayDeque<>();

    /**
     * One measurement. Immutable.
     *
     * @param processorNanos processor time that this process has used since its start; negative if it is not known
     * @param lagMillis longest delay of the router's ticks since the last measurement
     * @param requests requests in progress
     * @param atMillis when it was taken, on the steady clock
     */
    public record Measurement(long processorNanos, long lagMillis, int requests, long atMillis) {}

    /** @param capacityCores processor time that this process may use, in cores */
    public GatewayLoadMeter(double capacityCores) {
        this.capacityCores = capacityCores;
    }

    /** Adds a measurement; returns the load, or nothing while it is unknown. */
    public Optional<GatewayLoad> record(Measurement measurement) {
        Measurement previous = measurements.peekLast();
        if (previous != null && measurement.atMillis() - previous.atMillis() > WINDOW_MILLIS) {
            measurements.clear();
        }
        measurements.addLast(measurement);
        while (millisSince(second(), measurement) >= WINDOW_MILLIS) {
            measurements.removeFirst();
        }
        Measurement first = measurements.getFirst();
        long millis = millisSince(first, measurement);
        if (millis < MIN_WINDOW_MILLIS || first.processorNanos() < 0 || measurement.processorNanos() < 0) {
            return Optional.empty();
        }
        double cores = (measurement.processorNanos() - first.processorNanos()) / NANOS_PER_MILLI / millis;
        // The lesser of two delays, so that a single pause such as a garbage collection does not count as load.
        return Optional.of(new GatewayLoad(
                cores / capacityCores,
                Math.min(previous.lagMillis(), measurement.lagMillis()),
                Math.max(previous.requests(), measurement.requests())));
    }

    private Measurement second() {
        return measurements.stream().skip(1).findFirst().orElse(measurements.getLast());
    }

    private static long millisSince(Measurement from, Measurement to) {
        return to.atMillis() - from.atMillis();
    }
}
