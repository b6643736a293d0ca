package org.cornelramp.daemon.agent;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.Offer;
import org.cornelramp.ports.BackendOffer;
import org.cornelramp.ports.PlatformException;

/**
 * Follows the backend server beside the agent: what it offers, and whether it lives.
 *
 * <p>Confined to the agent's duty. The backend server's {@code life} changes when it restarts; with it all that it
 * held is gone, even if it was down for too short a time to be noticed otherwise.
 */
final class BackendWatch {
    private static final System.Logger LOG = System.getLogger(BackendWatch.class.getName());
    private static final int POLLS = 4;
    private static final long MILLI = 1_000_000L;

    private final Supplier<CompletableFuture<BackendOffer>> source;
    private final Completions completions;
    private final Supplier<Moment> clock;
    private final long timeoutMillis;
    private final Listener listener;
    private AgentState state = AgentState.STARTING;
    private Optional<Offer> offer = Optional.empty();
    private String life = "";
    private boolean asking;
    private long nextAskAt;
    private long heardAt;

    /** Told of what happened to the backend server. */
    interface Listener {
        /** The backend server offers this now. */
        void offered(Offer offer);

        /** The backend server has ended and started anew: all that it held is gone. */
        void restarted();

        /** The backend server cannot be reached or does not answer; calls at it may still end. */
        void unreachable(String why);
    }

    BackendWatch(
            Supplier<CompletableFuture<BackendOffer>> source,
            Completions completions,
            Supplier<Moment> clock,
            long timeoutMillis,
            Listener listener) {
        this.source = source;
        this.completions = completions;
        this.clock = clock;
        this.timeoutMillis = timeoutMillis;
        this.listener = listener;
    }

    /** Asks the backend server when it is time, and counts it as down after a long silence. */
    void tick(Moment now) {
        if (heardAt == 0) {
            heardAt = now.nanos();
        }
        if (!asking && now.nanos() - nextAskAt >= 0) {
            ask(now);
        }
        if (state == AgentState.ACTIVE && now.nanos() - heardAt > timeoutMillis * MILLI) {
            state = AgentState.BACKEND_DOWN;
            listener.unreachable("it is silent");
        }
    }

    private void ask(Moment now) {
        asking = true;
        nextAskAt = now.plusMillis(timeoutMillis / POLLS);
        completions.on(source.get(), (answer, failure) -> {
            asking = false;
            if (failure == null) {
                heard(answer);
            } else if (failure instanceof PlatformException e && e.kind() == PlatformException.Kind.NOT_SENT) {
                refusedConnection();
            }
        });
    }

    private void heard(BackendOffer answer) {
        heardAt = clock.get().nanos();
        heardLife(answer.life());
        Offer now =
                new Offer(answer.service(), answer.layers(), answer.version(), answer.accelerator(), answer.slots());
        if (state != AgentState.ACTIVE || !offer.equals(Optional.of(now))) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "agent: the backend server is ready; service=" + now.service() + " version=" + now.version()
                            + " slots=" + now.slots());
        }
        state = AgentState.ACTIVE;
        offer = Optional.of(now);
        listener.offered(now);
    }

    /** Notes the life that came with any answer of the backend server. */
    void heardLife(String now) {
        boolean changed = !life.isEmpty() && !life.equals(now);
        life = now;
        if (changed) {
            listener.restarted();
        }
    }

    /** Notes that a connection was refused: nothing listens there any more. */
    void refusedConnection() {
        if (state == AgentState.ACTIVE) {
            state = AgentState.BACKEND_DOWN;
            listener.unreachable("it refuses connections");
        }
    }

    /** Notes that this process itself stood still: answers that came meanwhile are still unread. */
    void woke(Moment now) {
        heardAt = now.nanos();
    }

    /** Asks with the next tick, since a call has just lost its answer. */
    void askSoon() {
        nextAskAt = clock.get().nanos();
    }

    /** The state that follows from the backend server alone. */
    AgentState state() {
        return state;
    }

    /** What the backend server offers; empty before its first answer. */
    Optional<Offer> offer() {
        return offer;
    }
}
