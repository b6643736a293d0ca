package org.cornelramp.bench.scale;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.Member;
import org.cornelramp.bench.load.Callers;
import org.cornelramp.bench.load.ExpectedText;
import org.cornelramp.bench.load.OpenLoop;
import org.cornelramp.bench.load.Samples;
import org.cornelramp.bench.load.ServiceCallPlan;

/** Sends bookings at a constant mean rate through the entries of a fleet. Confined to one thread. */
final class ScaleLoad implements AutoCloseable {
    private static final int LAYERS = 24;
    private static final long DEADLINE_MILLIS = 5_000;
    private static final Duration END_LIMIT = Duration.ofSeconds(10);

    private final Callers callers;
    private final Samples samples = new Samples();
    private final AtomicInteger next = new AtomicInteger();
    private final int organisations;
    private final OpenLoop loop;

    ScaleLoad(Fleet fleet, List<Member> entries, long seed) {
        this.callers =
                new Callers(entries.stream().map(Member::url).toList(), Fleet::callerKey, new ExpectedText(LAYERS));
        this.organisations = fleet.plan().organisations();
        this.loop = new OpenLoop(seed);
    }

    /** Sends bookings and returns when all have ended, so that none extends into an idle window. */
    void run(double perSecond, double seconds) {
        loop.run(perSecond, System.nanoTime(), seconds, due -> {
            int number = next.getAndIncrement();
            samples.countSent();
            callers.book(
                    new ServiceCallPlan(number % organisations, number, "{\"sofa\":" + number + "}", DEADLINE_MILLIS),
                    due,
                    samples::add);
        });
        Fleet.await("all bookings ended", END_LIMIT, () -> samples.openCount() == 0);
    }

    /** Counts of how the bookings ended, as text. */
    String ends() {
        return Samples.countsByEnd(samples.all()) + " " + Samples.countsByDetail(samples.all());
    }

    @Override
    public void close() {
        callers.close();
    }
}
