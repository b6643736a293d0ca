package org.cornelramp.gateway.route;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Holds the ends of attempts that do not fit into the router's queue. An end must not be lost, since the request would
 * wait for it for ever, and must not block: it may be reported by the router's own thread, or by a thread that the
 * router's queue is waiting for. Safe for use by any thread.
 *
 * <p>Invariant: holds at most one end for each attempt in progress, so it is bounded although it has no capacity.
 */
final class AttemptEndOverflow {
    private final Predicate<RouterEvent> ring;
    private final Queue<RouterEvent.AttemptEnded> overflow = new ConcurrentLinkedQueue<>();

    /** @param ring queues an event; false if the queue is full */
    AttemptEndOverflow(Predicate<RouterEvent> ring) {
        this.ring = ring;
    }

    /** Queues an end; never blocks. */
    void offer(RouterEvent.AttemptEnded ended) {
        if (!ring.test(ended)) {
            overflow.add(ended);
        }
    }

    /** Handles the ends held so far; called by the router's thread, before each event and each tick. */
    void drain(Consumer<RouterEvent> handler) {
        for (RouterEvent ended = overflow.poll(); ended != null; ended = overflow.poll()) {
            handler.accept(ended);
        }
    }
}
