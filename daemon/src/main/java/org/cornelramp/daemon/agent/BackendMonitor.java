package org.cornelramp.daemon.agent;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.Offer;
import org.cornelramp.ports.BackendOffer;
import org.cornelramp.ports.PlatformException;

/**
 * Monitors the agent's backend server: its offer and whether it is available.
 *
 * <p>Confined to the agent's event loop thread. The backend server's incarnation, {@code life} in its answers, changes
 * when it restarts. All state that the server held is then lost, even if it was down too briefly to be noticed
 * otherwise.
 */
final class BackendMonitor {
    private static final System.Logger LOG = System.getLogger(BackendMonitor.class.getName());
    private static final int POLLS_PER_TIMEOUT = 4;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Supplier<CompletableFuture<BackendOffer>> offerSource;
    private final CompletionDispatcher completions;
    private final Supplier<Moment> clock;
    private final long timeoutMillis;
    private final Listener listener;
    private AgentState state = AgentState.STARTING;
    private Optional<Offer> offer = Optional.empty();
    private String incarnation = "";
    private boolean pollPending;
    private long nextPollAt;
    private long lastAnswerAt;

    /** Receives changes of the backend server's state. */
    interface Listener {
        /** The backend server has answered with its present offer. */
        void offerReceived(Offer offer);

        /** The backend server has restarted: all state that it held is lost. */
        void restarted();

        /** The backend server cannot be reached or does not answer; calls that run at it may still end. */
        void unreachable(String why);
    }

    BackendMonitor(
            Supplier<CompletableFuture<BackendOffer>> offerSource,
            CompletionDispatcher completions,
            Supplier<Moment> clock,
            long timeoutMillis,
            Listener listener) {
        this.offerSource = offerSource;
        this.completions = completions;
        this.clock = clock;
        this.timeoutMillis = timeoutMillis;
        this.listener = listener;
    }

    /** Polls the backend server when due, and marks it as down when it has not answered within the timeout. */
    void tick(Moment now) {
        if (lastAnswerAt == 0) {
            lastAnswerAt = now.nanos();
        }
        if (!pollPending && now.nanos() - nextPollAt >= 0) {
            poll(now);
        }
        if (state == AgentState.ACTIVE && now.nanos() - lastAnswerAt > timeoutMillis * NANOS_PER_MILLI) {
            state = AgentState.BACKEND_DOWN;
            listener.unreachable("it has not answered within the timeout");
        }
    }

    private void poll(Moment now) {
        pollPending = true;
        nextPollAt = now.plusMillis(timeoutMillis / POLLS_PER_TIMEOUT);
        completions.whenComplete(offerSource.get(), (answer, failure) -> {
            pollPending = false;
            if (failure == null) {
                onOffer(answer);
            } else if (failure instanceof PlatformException e && e.kind() == PlatformException.Kind.NOT_SENT) {
                connectionRefused();
            }
        });
    }

    private void onOffer(BackendOffer answer) {
        lastAnswerAt = clock.get().nanos();
        observeIncarnation(answer.life());
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
        listener.offerReceived(now);
    }

    /** Compares the incarnation in an answer of the backend server with the last one, to detect a restart. */
    void observeIncarnation(String observed) {
        boolean changed = !incarnation.isEmpty() && !incarnation.equals(observed);
        incarnation = observed;
        if (changed) {
            listener.restarted();
        }
    }

    /** Records that a connection was refused, so no process listens at the backend server's address. */
    void connectionRefused() {
        if (state == AgentState.ACTIVE) {
            state = AgentState.BACKEND_DOWN;
            listener.unreachable("it refuses connections");
        }
    }

    /** Restarts the timeout after a pause of this process, since answers that arrived during it are still unread. */
    void processResumed(Moment now) {
        lastAnswerAt = now.nanos();
    }

    /** Polls with the next tick, since the answer of a call has just been lost. */
    void pollSoon() {
        nextPollAt = clock.get().nanos();
    }

    /** The agent's state as far as the backend server determines it. */
    AgentState state() {
        return state;
    }

    /** What the backend server offers; empty before its first answer. */
    Optional<Offer> offer() {
        return offer;
    }
}
