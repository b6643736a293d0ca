package org.cornelramp.bench.soak;

import java.util.SplittableRandom;
import org.cornelramp.bench.load.Callers;
import org.cornelramp.bench.load.ChatCall;
import org.cornelramp.bench.load.OpenLoop;
import org.cornelramp.bench.load.ServiceCallPlan;

/**
 * Bookings and streamed chat requests at a steady mean rate, drawn from the seed. Confined to the thread that runs it.
 */
final class SoakLoad {
    private static final double PER_SECOND = 40;
    private static final int CHATS_IN_TEN = 3;
    private static final int MOST_TOKENS = 60;
    private static final long DEADLINE_MILLIS = 8_000;

    private final Callers callers;
    private final Ledger ledger;
    private final int organisations;
    private final int entries;
    private final SplittableRandom random;
    private final long seed;
    private int next;

    SoakLoad(Callers callers, Ledger ledger, int organisations, int entries, long seed) {
        this.callers = callers;
        this.ledger = ledger;
        this.organisations = organisations;
        this.entries = entries;
        this.random = new SplittableRandom(seed);
        this.seed = seed;
    }

    void run(long startNanos, int seconds) {
        new OpenLoop(seed).run(PER_SECOND, startNanos, seconds, this::send);
    }

    private void send(long dueNanos) {
        int number = next++;
        int organisation = random.nextInt(organisations);
        int entry = random.nextInt(entries);
        ledger.sent();
        if (random.nextInt(10) < CHATS_IN_TEN) {
            int tokens = 1 + random.nextInt(MOST_TOKENS);
            String content = "quote for load " + number + " of " + seed;
            ChatCall call = new ChatCall(organisation, entry, content, tokens, DEADLINE_MILLIS);
            callers.chat(call, dueNanos, ledger::chatted);
        } else {
            String body = "{\"booking\":\"b-" + seed + "-" + number + "\"}";
            ServiceCallPlan call = new ServiceCallPlan(organisation, entry, body, DEADLINE_MILLIS);
            callers.book(call, dueNanos, sample -> ledger.booked(new Booking(body, sample)));
        }
    }
}
