package org.cornelramp.core.step;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Simulates a session over several stages: the real {@link StageSession} of each stage, in-memory engines, ordered
 * links that can break, and an entry. A number selects which of the possible events happens next. Confined to one
 * thread.
 */
final class PipelineSimulation {
    private static final long VOCABULARY = 50;
    private static final int MAX_RUN = 3;
    private static final int MAX_SEND = 2;
    private static final int ACTIONS = 12;

    private final int stages;
    private final long[] prompt;
    private final int maxTokens;
    private final StageNode[] nodes;
    /** Messages in transit to each stage from its predecessor: stage s - 1, or the last stage for stage 0. */
    private final List<List<Frame>> fromNeighbour = new ArrayList<>();

    private final List<List<Frame>> fromEntry = new ArrayList<>();
    private final List<Frame> toEntry = new ArrayList<>();
    private final List<Frame> delayed = new ArrayList<>();
    private final TreeMap<Integer, Long> tokens = new TreeMap<>();
    private final int[] openedPositions;
    private int epoch;

    PipelineSimulation(int stages, long[] prompt, int maxTokens) {
        this.stages = stages;
        this.prompt = prompt;
        this.maxTokens = maxTokens;
        this.nodes = new StageNode[stages];
        this.openedPositions = new int[stages];
        for (int i = 0; i < stages; i++) {
            fromNeighbour.add(new ArrayList<>());
            fromEntry.add(new ArrayList<>());
        }
        openNewEpoch();
    }

    /** Performs the event that {@code choice} selects. */
    void step(int choice) {
        int argument = choice / ACTIONS;
        int stage = argument % stages;
        switch (choice % ACTIONS) {
            case 0, 1, 2, 3 -> runStage(stage);
            case 4 -> deliver(fromEntry.get(stage), stage);
            case 5 -> deliver(fromNeighbour.get(stage), stage);
            case 6 -> beginRun(stage);
            case 7 -> finishRun(stage);
            case 8 -> send(stage);
            case 9 -> deliverToEntry();
            case 10 -> injectFault(argument / stages % 9, stage);
            default -> redeliver(argument / stages, stage);
        }
    }

    private void runStage(int stage) {
        deliver(fromNeighbour.get(stage), stage);
        beginRun(stage);
        finishRun(stage);
        send(stage);
    }

    private void injectFault(int kind, int stage) {
        switch (kind) {
            case 0 -> replaceStage(stage, false);
            case 1 -> replaceStage(stage, true);
            case 2 -> cutLink(stage);
            case 3 -> {
                replaceStage(stage, false);
                replaceStage((stage + 1) % stages, false);
            }
            default -> {}
        }
    }

    /** Replaces a stage in a new epoch after it died, or after it left and exported its cache. */
    private void replaceStage(int stage, boolean exportsCache) {
        StageNode old = nodes[stage];
        nodes[stage] = null;
        if (exportsCache && old != null && old.session.running() == 0) {
            old.session.freeze();
            nodes[stage] = new StageNode(
                    new StageSession(spec(stage), epoch + 1, old.session.snapshot()), old.engine.copy(), stage);
        }
        openNewEpoch();
    }

    private void openNewEpoch() {
        epoch++;
        for (int i = 0; i < stages; i++) {
            // Messages in transit may arrive at any later time.
            delayed.addAll(fromNeighbour.get(i));
            delayed.addAll(fromEntry.get(i));
            fromNeighbour.get(i).clear();
            fromEntry.get(i).clear();
            if (nodes[i] == null) {
                nodes[i] = new StageNode(new StageSession(spec(i), epoch), new Engine(i), i);
            }
            nodes[i].session.openEpoch(epoch);
            openedPositions[i] = nodes[i].session.position();
        }
        for (int i = 0; i < stages; i++) {
            int from = i + 1 < stages ? openedPositions[i + 1] : prompt.length - 1 + tokens.size();
            fromEntry.get(i).add(new Frame(i, epoch, from, null));
        }
        fromEntry.get(0).add(new Frame(0, epoch, openedPositions[0], knownInputs(openedPositions[0])));
    }

    private StageSpec spec(int stage) {
        return new StageSpec(stage, stages, prompt.length, maxTokens);
    }

    private long[] knownInputs(int from) {
        int end = prompt.length + tokens.size();
        long[] inputs = new long[Math.max(0, end - from)];
        for (int i = 0; i < inputs.length; i++) {
            int at = from + i;
            inputs[i] = at < prompt.length ? prompt[at] : tokens.get(at - prompt.length);
        }
        return inputs;
    }

    private void cutLink(int stage) {
        delayed.addAll(fromNeighbour.get(stage));
        fromNeighbour.get(stage).clear();
        nodes[(stage + stages - 1) % stages].session.resendAll();
    }

    private void deliver(List<Frame> queue, int stage) {
        if (!queue.isEmpty()) {
            Frame frame = queue.remove(0);
            if (frame.values == null) {
                nodes[stage].session.startSending(frame.epoch, frame.position);
            } else {
                StepAcceptance acceptance = nodes[stage].session.accept(frame.epoch, frame.position, frame.values);
                if (acceptance == StepAcceptance.OUT_OF_RANGE) {
                    throw new AssertionError("Inputs out of range on an ordered link at stage " + stage);
                }
            }
        }
    }

    /** Delivers a frame again: one of an older epoch or of a broken link, or a copy of one in transit. */
    private void redeliver(int selector, int stage) {
        List<Frame> queue = fromNeighbour.get(stage);
        Frame frame = !delayed.isEmpty() && selector % 2 == 0
                ? delayed.get(selector % delayed.size())
                : queue.isEmpty() ? null : queue.get(0);
        if (frame != null && frame.values != null) {
            StepAcceptance acceptance = nodes[frame.stage].session.accept(frame.epoch, frame.position, frame.values);
            if (acceptance == StepAcceptance.OUT_OF_RANGE) {
                throw new AssertionError("A late step counts as out of range, so the stage would be given up");
            }
        }
    }

    private void beginRun(int stage) {
        StageNode node = nodes[stage];
        node.session.nextRun(MAX_RUN).ifPresent(run -> {
            if (node.currentRun != null) {
                throw new AssertionError("The engine is given a second run of the same session");
            }
            node.currentRun = run;
        });
    }

    private void finishRun(int stage) {
        StageNode node = nodes[stage];
        if (node.currentRun != null) {
            node.session.completeRun(node.engine.run(node.currentRun));
            node.currentRun = null;
        }
    }

    private void send(int stage) {
        StageSession session = nodes[stage].session;
        Optional<OutputBatch> next = session.nextSend(MAX_SEND);
        if (next.isEmpty()) {
            return;
        }
        OutputBatch send = next.get();
        session.markSent(send);
        if (stage + 1 < stages) {
            fromNeighbour.get(stage + 1).add(new Frame(stage + 1, session.epoch(), send.position(), send.outputs()));
            return;
        }
        int skip = Math.max(0, prompt.length - 1 - send.position());
        if (skip < send.outputs().length) {
            int first = send.position() + skip;
            long[] values = Arrays.copyOfRange(send.outputs(), skip, send.outputs().length);
            toEntry.add(new Frame(0, session.epoch(), first, values));
            fromNeighbour.get(0).add(new Frame(0, session.epoch(), first + 1, values));
        }
    }

    private void deliverToEntry() {
        if (toEntry.isEmpty()) {
            return;
        }
        Frame frame = toEntry.remove(0);
        if (frame.epoch == epoch) {
            for (int i = 0; i < frame.values.length; i++) {
                tokens.putIfAbsent(frame.position - (prompt.length - 1) + i, frame.values[i]);
            }
        }
    }

    /** Processes all pending events without further faults until the answer is complete. */
    void runToEnd() {
        for (int round = 0; round < 4_000 && !isComplete(); round++) {
            for (int stage = 0; stage < stages; stage++) {
                deliver(fromEntry.get(stage), stage);
                deliver(fromNeighbour.get(stage), stage);
                beginRun(stage);
                finishRun(stage);
                send(stage);
            }
            deliverToEntry();
        }
    }

    private boolean isComplete() {
        return tokens.size() == maxTokens || tokens.containsValue(StageSpec.END_TOKEN);
    }

    /** The tokens up to the end of the answer, as the caller receives them. */
    List<Long> answer() {
        List<Long> answer = new ArrayList<>();
        for (int i = 0; i < maxTokens && tokens.containsKey(i); i++) {
            answer.add(tokens.get(i));
            if (tokens.get(i) == StageSpec.END_TOKEN) {
                break;
            }
        }
        return answer;
    }

    /** The answer of a run without faults. */
    static List<Long> faultFreeAnswer(int stages, long[] prompt, int maxTokens) {
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < stages; i++) {
            engines.add(new Engine(i));
        }
        List<Long> answer = new ArrayList<>();
        long[] inputs = prompt;
        int position = 0;
        while (answer.size() < maxTokens) {
            long[] values = inputs;
            for (Engine engine : engines) {
                values = engine.run(new InputBatch(position, values));
            }
            position += inputs.length;
            inputs = new long[] {values[values.length - 1]};
            answer.add(inputs[0]);
            if (inputs[0] == StageSpec.END_TOKEN) {
                break;
            }
        }
        return answer;
    }

    /** A frame on a link; one without values stands for a SendFrom message. */
    private record Frame(int stage, int epoch, int position, long[] values) {}

    private static final class StageNode {
        final StageSession session;
        final Engine engine;
        InputBatch currentRun;

        StageNode(StageSession session, Engine engine, int stage) {
            this.session = session;
            this.engine = engine;
            if (engine.stage != stage) {
                throw new IllegalArgumentException("An engine must be of the stage of its node");
            }
        }
    }

    /** Fails unless each position is run once and in order; its outputs depend on all earlier inputs. */
    private static final class Engine {
        final int stage;
        private long state;
        private int position;

        Engine(int stage) {
            this.stage = stage;
        }

        Engine copy() {
            Engine copy = new Engine(stage);
            copy.state = state;
            copy.position = position;
            return copy;
        }

        long[] run(InputBatch run) {
            if (run.position() != position) {
                throw new AssertionError(
                        "Stage " + stage + " was given position " + run.position() + " instead of " + position);
            }
            long[] outputs = new long[run.inputs().length];
            for (int i = 0; i < outputs.length; i++) {
                state = state * 31 + run.inputs()[i] * 17 + stage + 1;
                outputs[i] = Math.floorMod(state, VOCABULARY);
            }
            position += outputs.length;
            return outputs;
        }
    }
}
