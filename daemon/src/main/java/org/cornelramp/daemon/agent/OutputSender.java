package org.cornelramp.daemon.agent;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.core.step.OutputBatch;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.Step;
import org.cornelramp.wire.message.Token;

/**
 * Sends the outputs of stages to the agents of the next stages, and generated tokens to the entry.
 *
 * <p>Confined to the agent's event loop thread. Links to neighbours are kept while a session needs them. Data in
 * flight on a link that breaks is lost: on the new link all outputs of this epoch are sent again from the kept
 * outputs, and the next stage drops duplicates, so a short link failure needs no new epoch.
 */
final class OutputSender {
    private static final int MAX_OUTPUTS_PER_STEP = 512;
    private static final int MISSING_LINK_HEARTBEATS = 6;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final NeighbourLinks neighbours;
    private final long missingLinkNanos;
    private final Map<HostPort, Integer> userCounts = new HashMap<>();
    private final Map<HostPort, Link> links = new HashMap<>();
    private LocalStepHandler localSteps = (step, now) -> {};

    /** Opens and closes links to neighbour agents. */
    interface NeighbourLinks {
        void keep(HostPort address);

        void forget(HostPort address);
    }

    /** Handles a step whose next stage is at this agent. */
    interface LocalStepHandler {
        void step(Step step, Moment now);
    }

    OutputSender(NeighbourLinks neighbours, long heartbeatMillis) {
        this.neighbours = neighbours;
        this.missingLinkNanos = MISSING_LINK_HEARTBEATS * heartbeatMillis * NANOS_PER_MILLI;
    }

    /** Sets the handler for the steps of a pipeline with a single stage. */
    void setLocalSteps(LocalStepHandler steps) {
        this.localSteps = steps;
    }

    /** Keeps the link on which a stage sends its outputs. */
    void acquireLink(Stage stage) {
        stage.nextAddress().ifPresent(address -> {
            if (userCounts.merge(address, 1, Integer::sum) == 1) {
                neighbours.keep(address);
            }
        });
    }

    /** Releases the link on which a stage sends its outputs; the link is closed when its last stage releases it. */
    void releaseLink(Stage stage) {
        stage.nextAddress().ifPresent(address -> {
            if (userCounts.merge(address, -1, Integer::sum) <= 0) {
                userCounts.remove(address);
                links.remove(address);
                neighbours.forget(address);
            }
        });
    }

    /** Records a link to a neighbour; all outputs that the present epochs sent on an earlier link are sent again. */
    void linkOpened(Link link, Iterable<Stage> stages, Moment now) {
        Optional<HostPort> address = link.dialledAddress();
        if (address.isEmpty() || !userCounts.containsKey(address.get())) {
            return;
        }
        links.put(address.get(), link);
        for (Stage stage : stages) {
            if (stage.nextAddress().equals(address)) {
                stage.nextMissingAt = 0;
                stage.session.resendAll();
                sendPending(stage, now);
            }
        }
    }

    /** Sends the pending outputs of a stage until the link accepts no more. */
    void sendPending(Stage stage, Moment now) {
        Optional<OutputBatch> batch = stage.session.nextSend(MAX_OUTPUTS_PER_STEP);
        while (batch.isPresent() && send(stage, batch.get(), now)) {
            stage.session.markSent(batch.get());
            batch = stage.session.nextSend(MAX_OUTPUTS_PER_STEP);
        }
    }

    private boolean send(Stage stage, OutputBatch batch, Moment now) {
        return stage.session.spec().isLast()
                ? sendTokens(stage, batch, now)
                : sendStep(stage, toStep(stage, batch), now);
    }

    private static Step toStep(Stage stage, OutputBatch batch) {
        return new Step(stage.id(), stage.session.epoch(), batch.position(), batch.outputs());
    }

    /** Skips outputs before the prompt's last position: they predict tokens that the caller supplied. */
    private boolean sendTokens(Stage stage, OutputBatch batch, Moment now) {
        int first = Math.max(batch.position(), stage.session.spec().promptTokens() - 1);
        int skip = first - batch.position();
        if (skip >= batch.outputs().length) {
            return true;
        }
        long[] tokens = new long[batch.outputs().length - skip];
        System.arraycopy(batch.outputs(), skip, tokens, 0, tokens.length);
        Step feed = new Step(stage.id(), stage.session.epoch(), first + 1, tokens);
        if (stage.nextAddress().isEmpty()) {
            localSteps.step(feed, now);
        } else if (!sendStep(stage, feed, now)) {
            return false;
        }
        return stage.entryLink.send(new Token(stage.id(), stage.session.epoch(), first, toInts(tokens)));
    }

    private static int[] toInts(long[] tokens) {
        int[] numbers = new int[tokens.length];
        for (int i = 0; i < tokens.length; i++) {
            numbers[i] = (int) tokens[i];
        }
        return numbers;
    }

    private boolean sendStep(Stage stage, Step step, Moment now) {
        Link link = links.get(stage.nextAddress().orElseThrow());
        if (link == null || !link.isOpen()) {
            handleMissingLink(stage, now);
            return false;
        }
        if (!link.peer().incarnation().equals(stage.nextIncarnation())) {
            reportNextLost(stage, "The agent of the next stage has restarted");
            return false;
        }
        return link.send(step);
    }

    private void handleMissingLink(Stage stage, Moment now) {
        if (stage.nextMissingAt == 0) {
            stage.nextMissingAt = now.nanos();
        } else if (now.nanos() - stage.nextMissingAt > missingLinkNanos) {
            reportNextLost(stage, "No link to the agent of the next stage");
            stage.nextMissingAt = now.nanos();
        }
    }

    private static void reportNextLost(Stage stage, String detail) {
        stage.reportLost(stage.nextIndex(), ProblemKind.BACKEND_LOST, detail);
    }
}
