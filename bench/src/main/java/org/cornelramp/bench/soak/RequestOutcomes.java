package org.cornelramp.bench.soak;

import java.util.ArrayList;
import java.util.List;
import org.cornelramp.bench.load.Sample;

/** Records the outcome of every request of a run as its caller saw it. Safe for use by any thread. */
public final class RequestOutcomes {
    private final List<Booking> bookings = new ArrayList<>();
    private final List<Sample> chats = new ArrayList<>();
    private int countSent;

    synchronized void countSent() {
        countSent++;
    }

    synchronized void addBooking(Booking booking) {
        bookings.add(booking);
    }

    synchronized void addChat(Sample sample) {
        chats.add(sample);
    }

    /** Number of requests without an outcome so far. */
    public synchronized int openCount() {
        return countSent - bookings.size() - chats.size();
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
