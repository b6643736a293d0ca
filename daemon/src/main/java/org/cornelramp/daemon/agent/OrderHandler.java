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
 * Passes orders on to the engine, one at a time and only under the newest term known.
 *
 * <p>Confined to the agent's duty. Invariant: an order is judged when its turn has come, and the next is judged only
 * after the engine has answered it. Two orders under way at once could overtake each other on their connections, and
 * an engine that ignores terms would be left with the older one.
 */
final class OrderHandler {
    private static final System.Logger LOG = System.getLogger(OrderHandler.class.getName());
    private static final int MAX_WAITING = 16;
    private static final long LEARN_RETRY_MILLIS = 500;

    private final EngineClient engine;
    private final LogClient log;
    private final Completions completions;
    private final TermGuard terms = new TermGuard();
    private final Queue<Asked> waiting = new ArrayDeque<>();
    private boolean busy;
    private boolean learning;
    private long learnAt;

    OrderHandler(EngineClient engine, LogClient log, Completions completions) {
        this.engine = engine;
        this.log = log;
        this.completions = completions;
    }

    /** Reads the newest term from the log, once since the start; in an outage again until it succeeds. */
    void tick(Moment now) {
        if (terms.isLearned() || learning || now.nanos() - learnAt < 0) {
            return;
        }
        learning = true;
        learnAt = now.plusMillis(LEARN_RETRY_MILLIS);
        completions.on(log.bounds(LogStream.TERMS), this::learned);
    }

    private void learned(LogPage page, Throwable failure) {
        learning = false;
        if (failure != null) {
            return;
        }
        // A claim's term is the offset of its record.
        terms.learned(page.next() - 1);
        LOG.log(System.Logger.Level.INFO, "agent: the newest term is known; term=" + terms.newestTerm());
    }

    /** Notes a term that a peer knows. */
    void heard(long term) {
        terms.observe(term);
    }

    /** The newest term known. */
    long newestTerm() {
        return terms.newestTerm();
    }

    /** Takes an order. */
    void order(Link link, Order order) {
        if (waiting.size() >= MAX_WAITING) {
            answer(new Asked(link, order), OrderOutcome.NOT_READY, "Too many orders wait at this agent");
            return;
        }
        waiting.add(new Asked(link, order));
        pump();
    }

    private void pump() {
        while (!busy && !waiting.isEmpty()) {
            pass(waiting.remove());
        }
    }

    private void pass(Asked asked) {
        Order order = asked.order;
        Decision decision = terms.decide(order.term());
        if (decision == Decision.PASS) {
            busy = true;
            EngineOrder.Kind kind = EngineOrder.Kind.valueOf(order.kind().name());
            completions.call(
                    () -> engine.order(new EngineOrder(order.term(), kind, order.argument())),
                    (done, failure) -> ended(asked, Optional.ofNullable(failure)));
            return;
        }
        LOG.log(
                System.Logger.Level.INFO,
                "agent: an order was refused; decision=" + decision + " term=" + order.term() + " newest="
                        + terms.newestTerm() + " by=" + asked.link.peer().process());
        if (decision == Decision.STALE) {
            answer(asked, OrderOutcome.STALE, "A newer term is known; claim a term anew before giving orders");
        } else {
            answer(asked, OrderOutcome.NOT_READY, "The newest term is not known while the log cannot be read");
        }
    }

    private void ended(Asked asked, Optional<Throwable> failure) {
        busy = false;
        if (failure.isEmpty()) {
            answer(asked, OrderOutcome.TAKEN, "");
        } else {
            answer(
                    asked,
                    outcome(failure.get()),
                    "The engine did not take the order: " + failure.get().getMessage());
        }
        pump();
    }

    private static OrderOutcome outcome(Throwable failure) {
        boolean noEffect = failure instanceof PlatformException e
                && (e.kind() == PlatformException.Kind.NOT_SENT || e.kind() == PlatformException.Kind.REFUSED);
        return noEffect ? OrderOutcome.FAILED : OrderOutcome.UNKNOWN;
    }

    private void answer(Asked asked, OrderOutcome outcome, String detail) {
        asked.link.send(new OrderResult(asked.order.call(), outcome, terms.newestTerm(), detail));
    }

    /** An order and the link that it came on. */
    private record Asked(Link link, Order order) {}
}
