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
 * <p>Confined to the agent's duty. Links to neighbours are kept while a session needs them. A link that breaks loses
 * what was on the way: on the new link everything of this epoch is sent again from the kept outputs, and the next
 * stage drops what it has, so a short cut costs no epoch.
 */
final class OutputSender {
    private static final int MAX_OUTPUTS = 512;
    private static final int MISSING_INTERVALS = 6;
    private static final long MILLI = 1_000_000L;

    private final Neighbours neighbours;
    private final long missingNanos;
    private final Map<HostPort, Integer> users = new HashMap<>();
    private final Map<HostPort, Link> links = new HashMap<>();
    private LocalSteps local = (step, now) -> {};

    /** Keeps links to addresses. */
    interface Neighbours {
        void keep(HostPort address);

        void forget(HostPort address);
    }

    /** Takes a step that stays at this agent. */
    interface LocalSteps {
        void step(Step step, Moment now);
    }

    OutputSender(Neighbours neighbours, long heartbeatMillis) {
        this.neighbours = neighbours;
        this.missingNanos = MISSING_INTERVALS * heartbeatMillis * MILLI;
    }

    /** Sets who takes the steps of a pipeline of one stage. */
    void join(LocalSteps steps) {
        this.local = steps;
    }

    /** Keeps the link that a stage sends on. */
    void hold(Stage stage) {
        stage.next().ifPresent(address -> {
            if (users.merge(address, 1, Integer::sum) == 1) {
                neighbours.keep(address);
            }
        });
    }

    /** Gives up the link that a stage sent on; it is closed with its last user. */
    void release(Stage stage) {
        stage.next().ifPresent(address -> {
            if (users.merge(address, -1, Integer::sum) <= 0) {
                users.remove(address);
                links.remove(address);
                neighbours.forget(address);
            }
        });
    }

    /** Notes a link to a neighbour; all that the present epochs sent on an earlier one is sent again. */
    void opened(Link link, Iterable<Stage> stages, Moment now) {
        Optional<HostPort> address = link.kept();
        if (address.isEmpty() || !users.containsKey(address.get())) {
            return;
        }
        links.put(address.get(), link);
        for (Stage stage : stages) {
            if (stage.next().equals(address)) {
                stage.nextMissingAt = 0;
                stage.session.resendAll();
                pump(stage, now);
            }
        }
    }

    /** Sends what a stage has to send, as far as the links take it. */
    void pump(Stage stage, Moment now) {
        Optional<OutputBatch> send = stage.session.nextSend(MAX_OUTPUTS);
        while (send.isPresent() && send(stage, send.get(), now)) {
            stage.session.markSent(send.get());
            send = stage.session.nextSend(MAX_OUTPUTS);
        }
    }

    private boolean send(Stage stage, OutputBatch send, Moment now) {
        return stage.session.spec().isLast() ? sendTokens(stage, send, now) : sendStep(stage, toStep(stage, send), now);
    }

    private static Step toStep(Stage stage, OutputBatch send) {
        return new Step(stage.id(), stage.session.epoch(), send.position(), send.outputs());
    }

    /** Outputs before the prompt's last position predict tokens that the caller gave itself. */
    private boolean sendTokens(Stage stage, OutputBatch send, Moment now) {
        int first = Math.max(send.position(), stage.session.spec().promptTokens() - 1);
        int skip = first - send.position();
        if (skip >= send.outputs().length) {
            return true;
        }
        long[] tokens = new long[send.outputs().length - skip];
        System.arraycopy(send.outputs(), skip, tokens, 0, tokens.length);
        Step feed = new Step(stage.id(), stage.session.epoch(), first + 1, tokens);
        if (stage.next().isEmpty()) {
            local.step(feed, now);
        } else if (!sendStep(stage, feed, now)) {
            return false;
        }
        return stage.entry.send(new Token(stage.id(), stage.session.epoch(), first, toInts(tokens)));
    }

    private static int[] toInts(long[] tokens) {
        int[] numbers = new int[tokens.length];
        for (int i = 0; i < tokens.length; i++) {
            numbers[i] = (int) tokens[i];
        }
        return numbers;
    }

    private boolean sendStep(Stage stage, Step step, Moment now) {
        Link link = links.get(stage.next().orElseThrow());
        if (link == null || !link.isOpen()) {
            missing(stage, now);
            return false;
        }
        if (!link.peer().incarnation().equals(stage.nextLife())) {
            lostNext(stage, "The agent of the next stage has started anew");
            return false;
        }
        return link.send(step);
    }

    private void missing(Stage stage, Moment now) {
        if (stage.nextMissingAt == 0) {
            stage.nextMissingAt = now.nanos();
        } else if (now.nanos() - stage.nextMissingAt > missingNanos) {
            lostNext(stage, "No link to the agent of the next stage");
            stage.nextMissingAt = now.nanos();
        }
    }

    private static void lostNext(Stage stage, String detail) {
        stage.reportLost(stage.nextIndex(), ProblemKind.BACKEND_LOST, detail);
    }
}
