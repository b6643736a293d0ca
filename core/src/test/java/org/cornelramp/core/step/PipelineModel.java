package org.cornelramp.core.step;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A pure model of a session over some stages: the stages' real guards, in-memory engines, links that keep order and
 * can break, and an entry. A choice picks which of the things that could happen next does. Confined to one thread.
 */
final class PipelineModel {
    private static final long VOCABULARY = 50;
    private static final int MAX_RUN = 3;
    private static final int MAX_SEND = 2;
    private static final int ACTIONS = 12;

    private final int stages;
    private final long[] prompt;
    private final int maxTokens;
    private final Node[] nodes;
    /** Messages on their way to each stage, by sender: stage s - 1 (for 0: the last), and the entry. */
    private final List<List<Frame>> fromNeighbour = new ArrayList<>();

    private final List<List<Frame>> fromEntry = new ArrayList<>();
    private final List<Frame> toEntry = new ArrayList<>();
    private final List<Frame> late = new ArrayList<>();
    private final TreeMap<Integer, Long> tokens = new TreeMap<>();
    private final int[] opened;
    private int epoch;

    PipelineModel(int stages, long[] prompt, int maxTokens) {
        this.stages = stages;
        this.prompt = prompt;
        this.maxTokens = maxTokens;
        this.nodes = new Node[stages];
        this.opened = new int[stages];
        for (int i = 0; i < stages; i++) {
            fromNeighbour.add(new ArrayList<>());
            fromEntry.add(new ArrayList<>());
        }
        openAll();
    }

    /** One step of the world. */
    void act(int choice) {
        int more = choice / ACTIONS;
        int stage = more % stages;
        switch (choice % ACTIONS) {
            case 0, 1, 2, 3 -> work(stage);
            case 4 -> deliver(fromEntry.get(stage), stage);
            case 5 -> deliver(fromNeighbour.get(stage), stage);
            case 6 -> begin(stage);
            case 7 -> finish(stage);
            case 8 -> send(stage);
            case 9 -> hear();
            case 10 -> disturb(more / stages % 9, stage);
            default -> repeat(more / stages, stage);
        }
    }

    private void work(int stage) {
        deliver(fromNeighbour.get(stage), stage);
        begin(stage);
        finish(stage);
        send(stage);
    }

    private void disturb(int kind, int stage) {
        switch (kind) {
            case 0 -> lose(stage, false);
            case 1 -> lose(stage, true);
            case 2 -> cutLink(stage);
            case 3 -> {
                lose(stage, false);
                lose((stage + 1) % stages, false);
            }
            default -> {}
        }
    }

    /** A stage dies, or leaves and hands over its cache; a replacement takes its place under a new epoch. */
    private void lose(int stage, boolean exports) {
        Node old = nodes[stage];
        nodes[stage] = null;
        if (exports && old != null && old.guard.running() == 0) {
            old.guard.freeze();
            nodes[stage] =
                    new Node(new StageSession(shape(stage), epoch + 1, old.guard.snapshot()), old.engine.copy(), stage);
        }
        openAll();
    }

    private void openAll() {
        epoch++;
        for (int i = 0; i < stages; i++) {
            // What was on the way may arrive at any later time.
            late.addAll(fromNeighbour.get(i));
            late.addAll(fromEntry.get(i));
            fromNeighbour.get(i).clear();
            fromEntry.get(i).clear();
            if (nodes[i] == null) {
                nodes[i] = new Node(new StageSession(shape(i), epoch), new Engine(i), i);
            }
            nodes[i].guard.open(epoch);
            opened[i] = nodes[i].guard.position();
        }
        for (int i = 0; i < stages; i++) {
            int from = i + 1 < stages ? opened[i + 1] : prompt.length - 1 + tokens.size();
            fromEntry.get(i).add(new Frame(i, epoch, from, null));
        }
        fromEntry.get(0).add(new Frame(0, epoch, opened[0], known(opened[0])));
    }

    private StageShape shape(int stage) {
        return new StageShape(stage, stages, prompt.length, maxTokens);
    }

    private long[] known(int from) {
        int end = prompt.length + tokens.size();
        long[] inputs = new long[Math.max(0, end - from)];
        for (int i = 0; i < inputs.length; i++) {
            int at = from + i;
            inputs[i] = at < prompt.length ? prompt[at] : tokens.get(at - prompt.length);
        }
        return inputs;
    }

    private void cutLink(int stage) {
        late.addAll(fromNeighbour.get(stage));
        fromNeighbour.get(stage).clear();
        nodes[(stage + stages - 1) % stages].guard.sendAgain();
    }

    private void deliver(List<Frame> queue, int stage) {
        if (!queue.isEmpty()) {
            Frame frame = queue.remove(0);
            if (frame.values == null) {
                nodes[stage].guard.sendFrom(frame.epoch, frame.position);
            } else {
                StepVerdict verdict = nodes[stage].guard.accept(frame.epoch, frame.position, frame.values);
                if (verdict == StepVerdict.GAP) {
                    throw new AssertionError("A gap on an ordered link at stage " + stage);
                }
            }
        }
    }

    /** A frame comes again: one of an older epoch or of a link that broke, or a copy of one on its way. */
    private void repeat(int pick, int stage) {
        List<Frame> queue = fromNeighbour.get(stage);
        Frame frame =
                !late.isEmpty() && pick % 2 == 0 ? late.get(pick % late.size()) : queue.isEmpty() ? null : queue.get(0);
        if (frame != null && frame.values != null) {
            StepVerdict verdict = nodes[frame.stage].guard.accept(frame.epoch, frame.position, frame.values);
            if (verdict == StepVerdict.GAP) {
                throw new AssertionError("A late step reads as a gap, and the stage would be given up");
            }
        }
    }

    private void begin(int stage) {
        Node node = nodes[stage];
        node.guard.nextRun(MAX_RUN).ifPresent(run -> {
            if (node.run != null) {
                throw new AssertionError("Two runs of one session are at the engine");
            }
            node.run = run;
        });
    }

    private void finish(int stage) {
        Node node = nodes[stage];
        if (node.run != null) {
            node.guard.ran(node.engine.run(node.run));
            node.run = null;
        }
    }

    private void send(int stage) {
        StageSession guard = nodes[stage].guard;
        Optional<StepSend> next = guard.nextSend(MAX_SEND);
        if (next.isEmpty()) {
            return;
        }
        StepSend send = next.get();
        guard.sent(send);
        if (stage + 1 < stages) {
            fromNeighbour.get(stage + 1).add(new Frame(stage + 1, guard.epoch(), send.position(), send.outputs()));
            return;
        }
        int skip = Math.max(0, prompt.length - 1 - send.position());
        if (skip < send.outputs().length) {
            int first = send.position() + skip;
            long[] values = Arrays.copyOfRange(send.outputs(), skip, send.outputs().length);
            toEntry.add(new Frame(0, guard.epoch(), first, values));
            fromNeighbour.get(0).add(new Frame(0, guard.epoch(), first + 1, values));
        }
    }

    private void hear() {
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

    /** Lets everything that can happen happen, without further faults. */
    void settle() {
        for (int round = 0; round < 4_000 && !isWhole(); round++) {
            for (int stage = 0; stage < stages; stage++) {
                deliver(fromEntry.get(stage), stage);
                deliver(fromNeighbour.get(stage), stage);
                begin(stage);
                finish(stage);
                send(stage);
            }
            hear();
        }
    }

    private boolean isWhole() {
        return tokens.size() == maxTokens || tokens.containsValue(StageShape.END_TOKEN);
    }

    /** The tokens up to the end, as the caller gets them. */
    List<Long> answer() {
        List<Long> answer = new ArrayList<>();
        for (int i = 0; i < maxTokens && tokens.containsKey(i); i++) {
            answer.add(tokens.get(i));
            if (tokens.get(i) == StageShape.END_TOKEN) {
                break;
            }
        }
        return answer;
    }

    /** The answer of engines that nothing disturbs. */
    static List<Long> undisturbed(int stages, long[] prompt, int maxTokens) {
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
                values = engine.run(new StepRun(position, values));
            }
            position += inputs.length;
            inputs = new long[] {values[values.length - 1]};
            answer.add(inputs[0]);
            if (inputs[0] == StageShape.END_TOKEN) {
                break;
            }
        }
        return answer;
    }

    /** A frame; without values it is a SendFrom. */
    private record Frame(int stage, int epoch, int position, long[] values) {}

    private static final class Node {
        final StageSession guard;
        final Engine engine;
        StepRun run;

        Node(StageSession guard, Engine engine, int stage) {
            this.guard = guard;
            this.engine = engine;
            if (engine.stage != stage) {
                throw new IllegalArgumentException("An engine holds its own layers");
            }
        }
    }

    /** Runs each position once and in order, or fails; its outputs depend on all earlier inputs. */
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

        long[] run(StepRun run) {
            if (run.position() != position) {
                throw new AssertionError("Stage " + stage + " ran " + run.position() + " at " + position);
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
