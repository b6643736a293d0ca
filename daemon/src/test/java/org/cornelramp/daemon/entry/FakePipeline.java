package org.cornelramp.daemon.entry;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.Offer;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.poison.CrashReport;
import org.cornelramp.core.text.Tokenizer;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.CloseStage;
import org.cornelramp.wire.message.Message;
import org.cornelramp.wire.message.OpenStage;
import org.cornelramp.wire.message.SendFrom;
import org.cornelramp.wire.message.StageLost;
import org.cornelramp.wire.message.StageOpened;
import org.cornelramp.wire.message.Step;
import org.cornelramp.wire.message.Token;

/**
 * Stages that generate by a rule in which every output depends on all earlier inputs, so that a step that was
 * skipped or repeated changes the text. One lock guards all stages; they pass steps to each other directly.
 */
final class FakePipeline {
    static final ServiceName MODEL = new ServiceName("model-a");

    private static final int LAYERS = 3;
    private static final int TOKENS = 1_000;

    private final Map<Incarnation, Stage> stages = new HashMap<>();
    private volatile int pauseAt = Integer.MAX_VALUE;
    private volatile Runnable atPause = () -> {};
    private volatile int poisonLength = -1;

    /** An agent that holds one of the three layers. */
    synchronized FakeAgent agent(String name, long life, int layer) {
        Incarnation incarnation = new Incarnation(new BackendServerId(name), life);
        Offer offer = new Offer(MODEL, Optional.of(new LayerRange(layer, layer + 1, LAYERS)), "1", "fake", 8);
        FakeAgent agent = new FakeAgent(incarnation, offer);
        Stage stage = new Stage(layer, agent);
        stages.put(incarnation, stage);
        agent.behaviour = (link, message) -> on(stage, link, message);
        return agent;
    }

    /** Runs an action, once, when the first stage is about to run a position. */
    void onPosition(int position, Runnable action) {
        atPause = action;
        pauseAt = position;
    }

    /** From now on, each backend server of the second layer crashes on prompts of this length. */
    void poison(int promptLength) {
        poisonLength = promptLength;
    }

    /** The agent stops working, with all it holds, until a stage is opened at it again. */
    synchronized void stall(FakeAgent agent) {
        stages.remove(agent.incarnation);
    }

    /** The agent is gone with all it held. */
    synchronized void kill(FakeAgent agent) {
        Stage stage = stages.remove(agent.incarnation);
        if (stage != null) {
            stage.killed = true;
        }
        new Thread(agent::close, "kill").start();
    }

    /** What the pipeline must generate for a prompt. */
    static String expected(String prompt, int maxTokens) {
        long[] state = new long[LAYERS];
        StringBuilder text = new StringBuilder();
        int token = 0;
        for (long input : Tokenizer.encode(List.of(prompt))) {
            token = through(state, input);
        }
        for (int i = 0; i < maxTokens && token != Tokenizer.END_TOKEN; i++) {
            text.append(Tokenizer.decode(token));
            token = through(state, token);
        }
        return text.toString();
    }

    private static int through(long[] state, long input) {
        long value = input;
        for (int layer = 0; layer < LAYERS; layer++) {
            state[layer] = mix(state[layer], value, layer);
            value = state[layer];
        }
        return token(value);
    }

    private static long mix(long state, long input, int layer) {
        long mixed = state * 6364136223846793005L + input + layer + 1;
        return mixed ^ (mixed >>> 29);
    }

    private static int token(long value) {
        return 1 + (int) Math.floorMod(value, (long) TOKENS);
    }

    private synchronized void on(Stage stage, Link link, Message message) {
        if (message instanceof OpenStage open) {
            if (!stage.killed) {
                stages.put(stage.agent.incarnation, stage);
            }
            Held held = stage.held.computeIfAbsent(open.session(), key -> new Held());
            held.open = open;
            held.link = link;
            held.sendFrom = Integer.MAX_VALUE;
            held.ahead.clear();
            link.send(new StageOpened(open.session(), open.epoch(), open.stage(), held.outputs.size()));
        } else if (message instanceof SendFrom from) {
            Held held = stage.held.get(from.session());
            if (held != null) {
                held.sendFrom = from.position();
                pass(held, from.position(), stage);
            }
        } else if (message instanceof Step step) {
            step(stage, step);
        } else if (message instanceof CloseStage close) {
            stage.held.remove(close.session());
        }
    }

    private void step(Stage stage, Step step) {
        Held held = stage.held.get(step.session());
        if (held == null || step.epoch() != held.open.epoch()) {
            return;
        }
        if (step.position() > held.outputs.size()) {
            // The first stage has two senders; after a rebuild the last stage may be quicker than the entry.
            held.ahead.add(step);
            return;
        }
        if (stage.layer == 1 && held.open.promptTokens() == poisonLength) {
            crash(stage, held);
            return;
        }
        run(stage, held, step);
        Step next = held.ahead.poll();
        if (next != null) {
            step(stage, next);
        }
    }

    private static void crash(Stage stage, Held held) {
        OpenStage open = held.open;
        stage.held.clear();
        stage.crashes++;
        String name = stage.agent.incarnation + "#" + stage.crashes;
        held.link.send(
                new StageLost(open.session(), open.epoch(), open.stage(), ProblemKind.BACKEND_LOST, "The engine died"));
        stage.agent.tellCrash(new CrashReport(name, Instant.now(), Set.of(open.fingerprint())));
    }

    private void run(Stage stage, Held held, Step step) {
        int from = held.outputs.size();
        for (int i = from - step.position(); i < step.inputs().length; i++) {
            if (stage.layer == 0 && held.outputs.size() == pauseAt) {
                pauseAt = Integer.MAX_VALUE;
                atPause.run();
            }
            held.state = mix(held.state, step.inputs()[i], stage.layer);
            held.outputs.add(held.state);
        }
        pass(held, Math.max(from, held.sendFrom), stage);
    }

    private void pass(Held held, int from, Stage stage) {
        if (from >= held.outputs.size() || held.sendFrom == Integer.MAX_VALUE) {
            return;
        }
        long[] outputs = held.outputs.subList(from, held.outputs.size()).stream()
                .mapToLong(output -> output)
                .toArray();
        OpenStage open = held.open;
        if (stage.layer + 1 < LAYERS) {
            to(open, stage.layer + 1, new Step(open.session(), open.epoch(), from, outputs));
            return;
        }
        int[] tokens = Arrays.stream(outputs).mapToInt(FakePipeline::token).toArray();
        held.link.send(new Token(open.session(), open.epoch(), from, tokens));
        int generated = from + tokens.length - open.promptTokens() + 1;
        if (generated < open.maxTokens()) {
            long[] inputs = Arrays.stream(tokens).mapToLong(token -> token).toArray();
            to(open, 0, new Step(open.session(), open.epoch(), from + 1, inputs));
        }
    }

    private void to(OpenStage open, int stage, Step step) {
        Stage next = stages.get(open.incarnations().get(stage));
        if (next != null) {
            step(next, step);
        }
    }

    private static final class Stage {
        final int layer;
        final FakeAgent agent;
        final Map<Long, Held> held = new HashMap<>();
        int crashes;
        boolean killed;

        Stage(int layer, FakeAgent agent) {
            this.layer = layer;
            this.agent = agent;
        }
    }

    private static final class Held {
        final List<Long> outputs = new ArrayList<>();
        final Deque<Step> ahead = new ArrayDeque<>();
        OpenStage open;
        Link link;
        int sendFrom;
        long state;
    }
}
