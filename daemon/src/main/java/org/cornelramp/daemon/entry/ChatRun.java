package org.cornelramp.daemon.entry;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.selection.Candidate;
import org.cornelramp.core.selection.Choice;
import org.cornelramp.core.selection.RoutingRequest;
import org.cornelramp.core.session.PipelineSession;
import org.cornelramp.core.session.SessionAction;
import org.cornelramp.core.text.Tokenizer;
import org.cornelramp.wire.message.CloseStage;
import org.cornelramp.wire.message.Message;
import org.cornelramp.wire.message.OpenStage;
import org.cornelramp.wire.message.SendFrom;
import org.cornelramp.wire.message.StageLost;
import org.cornelramp.wire.message.StageOpened;
import org.cornelramp.wire.message.StageRefused;
import org.cornelramp.wire.message.Step;
import org.cornelramp.wire.message.Token;

/**
 * A chat completion in progress. Carries out the actions that its {@link PipelineSession} returns.
 *
 * <p>Confined to the router's thread. Invariant: the caller gets one final answer, and work counted at agents is no
 * longer counted when the session ends.
 */
final class ChatRun {
    /** Problem that is recorded when the caller no longer accepts its answer. */
    static final Problem CALLER_GONE =
            Problem.unknown(ProblemKind.DEADLINE_PASSED, "The caller has disconnected or reads too slowly.");

    private static final int MAX_REBUILDS = 8;
    private static final int LOSSES_BEFORE_DELAY = 2;
    private static final Duration CRASH_REPORT_DELAY = Duration.ofMillis(100);
    private static final Duration RECONNECT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration RESELECT_DELAY = Duration.ofMillis(20);

    private final long session;
    private final CallerRequest request;
    private final ChatRequest chat;
    private final String fingerprint;
    private final RouterContext context;
    private final AgentRegistry agents;
    private final RequestTracker tracker;
    private final PipelineSession state;
    private final int promptTokens;
    private final ChatResponseWriter responseWriter;
    private final StringBuilder answerText = new StringBuilder();
    private final Deque<SessionAction> pendingActions = new ArrayDeque<>();
    private List<Incarnation> countedAgents = List.of();
    private int emittedTokens;
    private int stageLosses;
    private boolean refusedByLink;
    private Optional<Instant> reselectStagesAt = Optional.empty();
    private Optional<Instant> lostAt = Optional.empty();

    ChatRun(long session, CallerRequest request, ChatRequest chat, String fingerprint, RouterContext context) {
        this.session = session;
        this.request = request;
        this.chat = chat;
        this.fingerprint = fingerprint;
        this.context = context;
        this.agents = context.agents();
        this.tracker = context.tracker();
        long[] prompt = Tokenizer.encode(chat.messages());
        this.promptTokens = prompt.length;
        this.state = new PipelineSession(prompt, chat.maxTokens(), MAX_REBUILDS);
        this.responseWriter = new ChatResponseWriter(request.id(), request.arrived(), chat.model());
    }

    /** Chooses the pipeline and opens it. */
    void start(Instant now) {
        usePipeline(context.selection().chooseForRetryable(routingRequest(), now), now);
    }

    void handle(StageOpened message, Instant now) {
        apply(state.onOpened(message.epoch(), message.stage(), message.position()), now);
    }

    void handle(StageRefused message, Instant now) {
        Problem why = Problem.notRun(message.kind(), message.detail())
                .withRetryAfter(Duration.ofMillis(Math.max(0, message.retryAfterMillis())));
        apply(state.onLost(message.epoch(), message.stage(), why), now);
    }

    void handle(StageLost message, Instant now) {
        recordFailure(message, now);
        apply(state.onLost(message.epoch(), message.stage(), Problem.notRun(message.kind(), message.detail())), now);
    }

    private void recordFailure(StageLost message, Instant now) {
        boolean isCurrent = message.epoch() == state.epoch() && !state.isAwaitingStages();
        if (isCurrent
                && message.stage() >= 0
                && message.stage() < state.stages().size()) {
            stageLosses++;
            context.healthTracker().recordFailure(state.stages().get(message.stage()), now);
        }
    }

    void handle(Token message, Instant now) {
        apply(state.onGenerated(message.epoch(), message.position(), message.tokens()), now);
    }

    /** Handles the loss of the link to an agent, which may still be running. */
    void linkLost(Incarnation agent, String detail, Instant now) {
        apply(state.onLinkLost(agent, Problem.notRun(ProblemKind.BACKEND_LOST, detail)), now);
    }

    /** Handles the end of an incarnation of an agent. */
    void incarnationEnded(Incarnation agent, String detail, Instant now) {
        apply(state.onLost(agent, Problem.notRun(ProblemKind.BACKEND_LOST, detail)), now);
    }

    /** Chooses a pipeline again when that is due, and ends the session at its deadline. */
    void tick(Instant now) {
        if (reselectStagesAt.isPresent() && !now.isBefore(reselectStagesAt.get())) {
            reselectStagesAt = Optional.empty();
            reselectStages(now);
        }
        if (!now.isBefore(request.deadline())) {
            giveUp(Problem.notRun(ProblemKind.DEADLINE_PASSED, "The answer was not complete at the deadline."), now);
        }
    }

    /** Ends the session with a problem, for example when its caller has disconnected. */
    void giveUp(Problem problem, Instant now) {
        apply(state.fail(problem), now);
    }

    boolean isEnded() {
        return state.isEnded();
    }

    private void usePipeline(Either<Problem, Choice> choice, Instant now) {
        if (choice.isLeft()) {
            apply(state.fail(choice.getLeft()), now);
            return;
        }
        List<Incarnation> stages =
                choice.get().stages().stream().map(Candidate::incarnation).toList();
        tracker.recordDecision(
                request,
                now,
                "chosen",
                "epoch=" + (state.epoch() + 1) + " stages=" + stages + " expected_millis="
                        + choice.get().expectedTime().toMillis());
        moveCountedWork(stages, now);
        apply(state.assignStages(stages), now);
    }

    private void moveCountedWork(List<Incarnation> stages, Instant now) {
        long tokens = (long) promptTokens + chat.maxTokens();
        countedAgents.stream().filter(agent -> !stages.contains(agent)).forEach(agents::workEnded);
        stages.stream()
                .filter(agent -> !countedAgents.contains(agent))
                .forEach(agent -> agents.workStarted(agent, tokens, now));
        countedAgents = stages;
    }

    private RoutingRequest routingRequest() {
        int remainingTokens = Math.max(1, chat.maxTokens() - state.generatedTokens());
        return new RoutingRequest(
                chat.model(), promptTokens, remainingTokens, request.deadline(), "", state.failedAgents());
    }

    /** Performs actions from a queue rather than by recursion, because a failed send adds further actions. */
    private void apply(List<SessionAction> actions, Instant now) {
        pendingActions.addAll(actions);
        SessionAction action = pendingActions.poll();
        while (action != null) {
            perform(action, now);
            action = pendingActions.poll();
        }
    }

    private void perform(SessionAction action, Instant now) {
        if (action instanceof SessionAction.Open open) {
            open(open, now);
        } else if (action instanceof SessionAction.SendFrom from) {
            send(from.stage(), new SendFrom(session, from.epoch(), from.position()), from.epoch());
        } else if (action instanceof SessionAction.Feed feed) {
            send(0, new Step(session, feed.epoch(), feed.position(), feed.tokens()), feed.epoch());
        } else if (action instanceof SessionAction.Emit emit) {
            emit(emit.tokens(), now);
        } else if (action instanceof SessionAction.SelectStages selectStages) {
            lostAt = lostAt.or(() -> Optional.of(now));
            tracker.recordDecision(
                    request, now, "rebuild", "why=" + selectStages.reason() + " failed=" + state.failedAgents());
            reselectStagesOrDelay(now);
        } else if (action instanceof SessionAction.Close close) {
            agents.closeStage(close.agent(), new CloseStage(session, close.epoch()), request.deadline());
        } else if (action instanceof SessionAction.Finish) {
            finish(now);
        } else if (action instanceof SessionAction.Fail fail) {
            fail(fail.problem(), now);
        }
    }

    /**
     * Chooses a replacement at once, or after a delay in two cases. A request that crashed two backend servers is set
     * aside once the second crash is reported. The report arrives shortly after the loss, and a third backend server
     * chosen before it would crash as well.
     *
     * <p>A link that refuses a message may be closed although this thread has not yet processed its end. If it were
     * chosen again at once, it would refuse again in an endless loop. This thread would never get to process the end of
     * the link, and all requests of the entry would stall.
     */
    private void reselectStagesOrDelay(Instant now) {
        if (refusedByLink) {
            refusedByLink = false;
            reselectStagesAt = Optional.of(now.plus(RESELECT_DELAY));
        } else if (stageLosses >= LOSSES_BEFORE_DELAY) {
            reselectStagesAt = Optional.of(now.plus(CRASH_REPORT_DELAY));
        } else {
            reselectStages(now);
        }
    }

    private void reselectStages(Instant now) {
        if (!state.isAwaitingStages()) {
            return;
        }
        Optional<Problem> stop = context.admission().stopReason(fingerprint, now);
        if (stop.isPresent()) {
            giveUp(stop.get(), now);
            return;
        }
        Either<Problem, Choice> choice = context.selection().chooseReplacement(routingRequest(), state.stages(), now);
        if (choice.isLeft() && mayReconnect(now)) {
            reselectStagesAt = Optional.of(now.plus(RESELECT_DELAY));
        } else {
            usePipeline(choice, now);
        }
    }

    /**
     * Whether a stage whose link was lost may be reachable again soon. A link that breaks between running processes is
     * up again within some tens of milliseconds, and the agent still holds its stage. Where there is no other replica,
     * giving up at once would fail every session that runs through the agent.
     */
    private boolean mayReconnect(Instant now) {
        boolean withinTimeout = lostAt.isPresent() && now.isBefore(lostAt.get().plus(RECONNECT_TIMEOUT));
        return withinTimeout
                && state.stages().stream()
                        .anyMatch(agent ->
                                !agents.isLinked(agent) && !state.failedAgents().contains(agent));
    }

    private void open(SessionAction.Open open, Instant now) {
        List<String> addresses = open.stages().stream()
                .map(agent -> agents.membership()
                        .member(agent)
                        .map(member -> member.address())
                        .orElse(""))
                .toList();
        long budgetMillis =
                Math.max(0, Duration.between(now, request.deadline()).toMillis());
        for (int stage = 0; stage < open.stages().size(); stage++) {
            OpenStage message = new OpenStage(
                    session,
                    open.epoch(),
                    request.id(),
                    request.row().key().organisation(),
                    chat.model(),
                    stage,
                    addresses,
                    open.stages(),
                    promptTokens,
                    chat.maxTokens(),
                    request.row().values().priority(),
                    budgetMillis,
                    fingerprint,
                    Optional.empty());
            send(stage, message, open.epoch());
        }
    }

    private void send(int stage, Message message, int epoch) {
        if (epoch != state.epoch() || state.isEnded() || state.isAwaitingStages()) {
            return;
        }
        if (!agents.send(state.stages().get(stage), message)) {
            Problem why = Problem.notRun(ProblemKind.BACKEND_LOST, "The link to a stage refused a message.");
            refusedByLink = true;
            pendingActions.addAll(state.onLinkLost(state.stages().get(stage), why));
        }
    }

    private void emit(int[] tokens, Instant now) {
        StringBuilder piece = new StringBuilder();
        for (int token : tokens) {
            piece.append(Tokenizer.decode(token));
        }
        emittedTokens += tokens.length;
        lostAt.ifPresent(at -> resumed(Duration.between(at, now), now));
        if (!chat.stream()) {
            answerText.append(piece);
        } else if (!request.answer().sendEvent(responseWriter.chunk(piece.toString()))) {
            giveUp(CALLER_GONE, now);
        }
    }

    private void resumed(Duration gap, Instant now) {
        lostAt = Optional.empty();
        tracker.recordRecoveryTime("rebuild", gap);
        tracker.recordDecision(request, now, "resumed", "epoch=" + state.epoch() + " gap_millis=" + gap.toMillis());
    }

    private void finish(Instant now) {
        state.stages().forEach(agent -> context.healthTracker().recordSuccess(agent, now));
        moveCountedWork(List.of(), now);
        String reason = emittedTokens < chat.maxTokens() ? "stop" : "length";
        if (chat.stream()) {
            if (!request.answer().sendEvent(responseWriter.lastChunk(reason))) {
                tracker.recordFailure(request, CALLER_GONE, emittedTokens, now);
                return;
            }
            tracker.recordAnswer(request, emittedTokens, now);
            request.answer().endStream();
        } else {
            byte[] body = responseWriter.completion(answerText.toString(), reason, promptTokens, emittedTokens);
            tracker.recordAnswer(request, emittedTokens, now);
            request.answer().complete(200, Headers.JSON, body);
        }
    }

    private void fail(Problem problem, Instant now) {
        moveCountedWork(List.of(), now);
        tracker.recordFailure(request, problem, emittedTokens, now);
        request.answer().fail(problem);
    }

    /**
     * Returns the part of a chat request that its fingerprint is computed from, without what does not change the work.
     */
    static byte[] fingerprintInput(ChatRequest chat) {
        String text = chat.model() + "\n" + chat.maxTokens() + "\n" + String.join("\n", chat.messages());
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
