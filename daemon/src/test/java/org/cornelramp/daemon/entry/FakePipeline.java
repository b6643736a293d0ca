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
 * Fake pipeline stages in which every output depends on all earlier inputs, so that a skipped or repeated step changes
 * the generated text. One lock guards all stages; they pass steps to each other directly.
 */
final class FakePipeline {
    static final ServiceName MODEL = new ServiceName("model-a");

    private static final int LAYERS = 3;
    private static final int VOCABULARY_SIZE = 1_000;

    private final Map<Incarnation, Stage> stages = new HashMap<>();
    private volatile int actionPosition = Integer.MAX_VALUE;
    private volatile Runnable positionAction = () -> {};
    private volatile int crashingPromptLength = -1;

    /** Returns an agent that holds one of the three layers. */
    synchronized FakeAgent agent(String name, long incarnationNumber, int layer) {
        Incarnation incarnation = new Incarnation(new BackendServerId(name), incarnationNumber);
        Offer offer = new Offer(MODEL, Optional.of(new LayerRange(layer, layer + 1, LAYERS)), "1", "fake", 8);
        FakeAgent agent = new FakeAgent(incarnation, offer);
        Stage stage = new Stage(layer, agent);
        stages.put(incarnation, stage);
        agent.messageHandler = (link, message) -> handle(stage, link, message);
        return agent;
    }

    /** Runs an action, once, when the first stage is about to run a position. */
    void onPosition(int position, Runnable action) {
        positionAction = action;
        actionPosition = position;
    }

    /** Makes each backend server of the second layer crash on prompts of this length. */
    void crashOnPromptLength(int promptLength) {
        crashingPromptLength = promptLength;
    }

    /** Stops the agent from getting steps of other stages until a stage is opened at it again. It keeps its state. */
    synchronized void stall(FakeAgent agent) {
        stages.remove(agent.incarnation);
    }

    /** Stops the agent; its state is lost. */
    synchronized void kill(FakeAgent agent) {
        Stage stage = stages.remove(agent.incarnation);
        if (stage != null) {
            stage.killed = true;
        }
        new Thread(agent::close, "kill").start();
    }

    /** Returns the text that the pipeline must generate for a prompt. */
    static String expected(String prompt, int maxTokens) {
        long[] state = new long[LAYERS];
        StringBuilder text = new StringBuilder();
        int token = 0;
        for (long input : Tokenizer.encode(List.of(prompt))) {
            token = runLayers(state, input);
        }
        for (int i = 0; i < maxTokens && token != Tokenizer.END_TOKEN; i++) {
            text.append(Tokenizer.decode(token));
            token = runLayers(state, token);
        }
        return text.toString();
    }

    private static int runLayers(long[] state, long input) {
        long value = input;
        for (int layer = 0; layer < LAYERS; layer++) {
            state[layer] = mix(state[layer], value, layer);
            value = state[layer];
        }
        return toToken(value);
    }

    private static long mix(long state, long input, int layer) {
        long mixed = state * 6364136223846793005L + input + layer + 1;
        return mixed ^ (mixed >>> 29);
    }

    private static int toToken(long value) {
        return 1 + (int) Math.floorMod(value, (long) VOCABULARY_SIZE);
    }

    private synchronized void handle(Stage stage, Link link, Message message) {
        if (message instanceof OpenStage open) {
            if (!stage.killed) {
                stages.put(stage.agent.incarnation, stage);
            }
            StageSession session = stage.sessions.computeIfAbsent(open.session(), key -> new StageSession());
            session.open = open;
            session.link = link;
            session.sendFrom = Integer.MAX_VALUE;
            session.earlySteps.clear();
            link.send(new StageOpened(open.session(), open.epoch(), open.stage(), session.outputs.size()));
        } else if (message instanceof SendFrom from) {
            StageSession session = stage.sessions.get(from.session());
            if (session != null) {
                session.sendFrom = from.position();
                sendOutputs(session, from.position(), stage);
            }
        } else if (message instanceof Step step) {
            step(stage, step);
        } else if (message instanceof CloseStage close) {
            stage.sessions.remove(close.session());
        }
    }

    private void step(Stage stage, Step step) {
        StageSession session = stage.sessions.get(step.session());
        if (session == null || step.epoch() != session.open.epoch()) {
            return;
        }
        if (step.position() > session.outputs.size()) {
            // The first stage receives steps from the entry and from the last stage. After a rebuild a step of the last
            // stage may arrive before the entry's.
            session.earlySteps.add(step);
            return;
        }
        if (stage.layer == 1 && session.open.promptTokens() == crashingPromptLength) {
            crash(stage, session);
            return;
        }
        run(stage, session, step);
        Step next = session.earlySteps.poll();
        if (next != null) {
            step(stage, next);
        }
    }

    private static void crash(Stage stage, StageSession session) {
        OpenStage open = session.open;
        stage.sessions.clear();
        stage.crashes++;
        String name = stage.agent.incarnation + "#" + stage.crashes;
        session.link.send(new StageLost(
                open.session(), open.epoch(), open.stage(), ProblemKind.BACKEND_LOST, "The engine crashed"));
        stage.agent.reportCrash(new CrashReport(name, Instant.now(), Set.of(open.fingerprint())));
    }

    private void run(Stage stage, StageSession session, Step step) {
        int from = session.outputs.size();
        for (int i = from - step.position(); i < step.inputs().length; i++) {
            if (stage.layer == 0 && session.outputs.size() == actionPosition) {
                actionPosition = Integer.MAX_VALUE;
                positionAction.run();
            }
            session.state = mix(session.state, step.inputs()[i], stage.layer);
            session.outputs.add(session.state);
        }
        sendOutputs(session, Math.max(from, session.sendFrom), stage);
    }

    private void sendOutputs(StageSession session, int from, Stage stage) {
        if (from >= session.outputs.size() || session.sendFrom == Integer.MAX_VALUE) {
            return;
        }
        long[] outputs = session.outputs.subList(from, session.outputs.size()).stream()
                .mapToLong(output -> output)
                .toArray();
        OpenStage open = session.open;
        if (stage.layer + 1 < LAYERS) {
            sendStep(open, stage.layer + 1, new Step(open.session(), open.epoch(), from, outputs));
            return;
        }
        int[] tokens = Arrays.stream(outputs).mapToInt(FakePipeline::toToken).toArray();
        session.link.send(new Token(open.session(), open.epoch(), from, tokens));
        int generated = from + tokens.length - open.promptTokens() + 1;
        if (generated < open.maxTokens()) {
            long[] inputs = Arrays.stream(tokens).mapToLong(token -> token).toArray();
            sendStep(open, 0, new Step(open.session(), open.epoch(), from + 1, inputs));
        }
    }

    private void sendStep(OpenStage open, int stage, Step step) {
        Stage next = stages.get(open.incarnations().get(stage));
        if (next != null) {
            step(next, step);
        }
    }

    private static final class Stage {
        final int layer;
        final FakeAgent agent;
        final Map<Long, StageSession> sessions = new HashMap<>();
        int crashes;
        boolean killed;

        Stage(int layer, FakeAgent agent) {
            this.layer = layer;
            this.agent = agent;
        }
    }

    private static final class StageSession {
        final List<Long> outputs = new ArrayList<>();
        final Deque<Step> earlySteps = new ArrayDeque<>();
        OpenStage open;
        Link link;
        int sendFrom;
        long state;
    }
}
