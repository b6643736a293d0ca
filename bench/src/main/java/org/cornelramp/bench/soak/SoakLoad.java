package org.cornelramp.bench.soak;

import java.util.SplittableRandom;
import org.cornelramp.bench.load.Callers;
import org.cornelramp.bench.load.ChatCall;
import org.cornelramp.bench.load.OpenLoop;
import org.cornelramp.bench.load.ServiceCallPlan;

/**
 * Sends bookings and streamed chat requests at a constant mean rate, drawn from the seed. Confined to the thread that
 * runs it.
 */
final class SoakLoad {
    private static final double REQUESTS_PER_SECOND = 40;
    private static final int CHATS_IN_TEN = 3;
    private static final int MAX_TOKENS = 60;
    private static final long DEADLINE_MILLIS = 8_000;

    private final Callers callers;
    private final RequestOutcomes outcomes;
    private final int organisations;
    private final int entries;
    private final SplittableRandom random;
    private final long seed;
    private int nextNumber;

    SoakLoad(Callers callers, RequestOutcomes outcomes, int organisations, int entries, long seed) {
        this.callers = callers;
        this.outcomes = outcomes;
        this.organisations = organisations;
        this.entries = entries;
        this.random = new SplittableRandom(seed);
        this.seed = seed;
    }

    void run(long startNanos, int seconds) {
        new OpenLoop(seed).run(REQUESTS_PER_SECOND, startNanos, seconds, this::send);
    }

    private void send(long dueNanos) {
        int number = nextNumber++;
        int organisation = random.nextInt(organisations);
        int entry = random.nextInt(entries);
        outcomes.countSent();
        if (random.nextInt(10) < CHATS_IN_TEN) {
            int tokens = 1 + random.nextInt(MAX_TOKENS);
            String content = "quote for load " + number + " of " + seed;
            ChatCall call = new ChatCall(organisation, entry, content, tokens, DEADLINE_MILLIS);
            callers.chat(call, dueNanos, outcomes::addChat);
        } else {
            String body = "{\"booking\":\"b-" + seed + "-" + number + "\"}";
            ServiceCallPlan call = new ServiceCallPlan(organisation, entry, body, DEADLINE_MILLIS);
            callers.book(call, dueNanos, sample -> outcomes.addBooking(new Booking(body, sample)));
        }
    }
}
