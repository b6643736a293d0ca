package org.cornelramp.daemon.agent;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.cornelramp.core.fence.TermGuard;
import org.cornelramp.core.fence.TermGuard.Decision;
import org.cornelramp.ports.EngineClient;
import org.cornelramp.ports.EngineOrder;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogPage;
import org.cornelramp.ports.LogStream;
import org.cornelramp.ports.PlatformException;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.Order;
import org.cornelramp.wire.message.OrderOutcome;
import org.cornelramp.wire.message.OrderResult;

/**
 * Forwards orders to the engine, one at a time and only under the newest known term.
 *
 * <p>Confined to the agent's event loop thread. Invariant: an order is checked when it reaches the head of the queue,
 * and the next one only after the engine has answered it. Two concurrent orders could overtake each other on their
 * connections, and an engine that ignores terms would end with the older one.
 */
final class OrderHandler {
    private static final System.Logger LOG = System.getLogger(OrderHandler.class.getName());
    private static final int MAX_WAITING = 16;
    private static final long TERM_READ_RETRY_MILLIS = 500;

    private final EngineClient engine;
    private final LogClient log;
    private final CompletionDispatcher completions;
    private final TermGuard terms = new TermGuard();
    private final Queue<PendingOrder> waiting = new ArrayDeque<>();
    private boolean engineBusy;
    private boolean readPending;
    private long nextReadAt;

    OrderHandler(EngineClient engine, LogClient log, CompletionDispatcher completions) {
        this.engine = engine;
        this.log = log;
        this.completions = completions;
    }

    /** Reads the newest term from the log once after the start; retries during an outage until it succeeds. */
    void tick(Moment now) {
        if (terms.isLearned() || readPending || now.nanos() - nextReadAt < 0) {
            return;
        }
        readPending = true;
        nextReadAt = now.plusMillis(TERM_READ_RETRY_MILLIS);
        completions.whenComplete(log.bounds(LogStream.TERMS), this::onTermRead);
    }

    private void onTermRead(LogPage page, Throwable failure) {
        readPending = false;
        if (failure != null) {
            return;
        }
        // A claim's term is the offset of its record.
        terms.markLearned(page.next() - 1);
        LOG.log(System.Logger.Level.INFO, "agent: the newest term is known; term=" + terms.newestTerm());
    }

    /** Records a term that a peer knows. */
    void observeTerm(long term) {
        terms.observe(term);
    }

    /** The newest known term. */
    long newestTerm() {
        return terms.newestTerm();
    }

    /** Queues an order, or refuses it if the queue is full. */
    void order(Link link, Order order) {
        if (waiting.size() >= MAX_WAITING) {
            answer(
                    new PendingOrder(link, order),
                    OrderOutcome.NOT_READY,
                    "The agent's order queue is full; retry later");
            return;
        }
        waiting.add(new PendingOrder(link, order));
        processWaiting();
    }

    private void processWaiting() {
        while (!engineBusy && !waiting.isEmpty()) {
            process(waiting.remove());
        }
    }

    private void process(PendingOrder pending) {
        Order order = pending.order;
        Decision decision = terms.decide(order.term());
        if (decision == Decision.PASS) {
            engineBusy = true;
            EngineOrder.Kind kind = EngineOrder.Kind.valueOf(order.kind().name());
            completions.invoke(
                    () -> engine.order(new EngineOrder(order.term(), kind, order.argument())),
                    (done, failure) -> onCompleted(pending, Optional.ofNullable(failure)));
            return;
        }
        LOG.log(
                System.Logger.Level.INFO,
                "agent: an order was refused; decision=" + decision + " term=" + order.term() + " newest="
                        + terms.newestTerm() + " by=" + pending.link.peer().process());
        if (decision == Decision.STALE) {
            answer(pending, OrderOutcome.STALE, "A newer term is known; claim a new term before sending orders");
        } else {
            answer(
                    pending,
                    OrderOutcome.NOT_READY,
                    "The newest term is unknown until the log can be read; retry later");
        }
    }

    private void onCompleted(PendingOrder pending, Optional<Throwable> failure) {
        engineBusy = false;
        if (failure.isEmpty()) {
            answer(pending, OrderOutcome.TAKEN, "");
        } else {
            answer(
                    pending,
                    outcome(failure.get()),
                    "The engine did not accept the order: " + failure.get().getMessage());
        }
        processWaiting();
    }

    private static OrderOutcome outcome(Throwable failure) {
        boolean noEffect = failure instanceof PlatformException e
                && (e.kind() == PlatformException.Kind.NOT_SENT || e.kind() == PlatformException.Kind.REFUSED);
        return noEffect ? OrderOutcome.FAILED : OrderOutcome.UNKNOWN;
    }

    private void answer(PendingOrder pending, OrderOutcome outcome, String detail) {
        pending.link.send(new OrderResult(pending.order.call(), outcome, terms.newestTerm(), detail));
    }

    /** An order and the link on which it was received. */
    private record PendingOrder(Link link, Order order) {}
}
