package org.cornelramp.bench.soak;

import java.util.ArrayList;
import java.util.List;
import org.cornelramp.bench.load.Sample;

/** How every request of a run ended for its caller. Safe for use by any thread. */
public final class Ledger {
    private final List<Booking> bookings = new ArrayList<>();
    private final List<Sample> chats = new ArrayList<>();
    private int sent;

    synchronized void sent() {
        sent++;
    }

    synchronized void booked(Booking booking) {
        bookings.add(booking);
    }

    synchronized void chatted(Sample sample) {
        chats.add(sample);
    }

    /** Requests without a final word so far. */
    public synchronized int open() {
        return sent - bookings.size() - chats.size();
    }

    /** All bookings that have ended. */
    public synchronized List<Booking> bookings() {
        return List.copyOf(bookings);
    }

    /** All chat requests that have ended. */
    public synchronized List<Sample> chats() {
        return List.copyOf(chats);
    }

    /** All requests that have ended. */
    public synchronized List<Sample> all() {
        List<Sample> all = new ArrayList<>(chats);
        bookings.forEach(b -> all.add(b.sample()));
        return all;
    }
}
