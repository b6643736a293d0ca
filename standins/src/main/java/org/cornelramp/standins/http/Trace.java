package org.cornelramp.standins.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.stream.Collectors;

/**
 * What a stand-in ran, for the checkers: the newest events, numbered from 0. Safe for use by any thread.
 */
public final class Trace {
    private static final int MAX_EVENTS = 200_000;

    private final Deque<Object> events = new ArrayDeque<>();
    private long next;

    /** Adds an event. */
    public synchronized void add(Object event) {
        if (events.size() == MAX_EVENTS) {
            events.removeFirst();
        }
        events.addLast(event);
        next++;
    }

    /** The events from a number on. */
    public synchronized Page from(long from) {
        long oldest = next - events.size();
        List<Object> part = events.stream().skip(Math.max(0, from - oldest)).collect(Collectors.toUnmodifiableList());
        return new Page(oldest, next, part);
    }

    /**
     * Part of a trace.
     *
     * @param oldest number of the oldest event kept
     * @param next number of the next event
     * @param events the events
     */
    public record Page(long oldest, long next, List<Object> events) {}
}
