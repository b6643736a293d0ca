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
import org.cornelramp.core.route.Candidate;
import org.cornelramp.core.route.Choice;
import org.cornelramp.core.route.RoutingRequest;
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
 * One chat completion in progress: does what its {@link PipelineSession} decides.
 *
 * <p>Confined to the router's thread. Invariant: the caller gets one final answer, and the work counted at agents
 * is uncounted when it ends.
 */
final class ChatRun {
    /** What is recorded when the caller no longer takes its answer. */
    static final Problem CALLER_GONE =
            Problem.unknown(ProblemKind.DEADLINE_PASSED, "The caller is gone or reads too slowly.");

    private static final int MAX_REBUILDS = 8;
    private static final int LOSSES_BEFORE_WAIT = 2;
    private static final Duration REPORT_TIME = Duration.ofMillis(100);
    private static final Duration PATIENCE = Duration.ofSeconds(5);
    private static final Duration RETRY_TIME = Duration.ofMillis(20);

    private final long session;
    private final CallerRequest request;
    private final ChatRequest chat;
    private final String fingerprint;
    private final Parts parts;
    private final Agents agents;
    private final Ends ends;
    private final PipelineSession state;
    private final int promptTokens;
    private final ChatText text;
    private final StringBuilder answer = new StringBuilder();
    private final Deque<SessionAction> todo = new ArrayDeque<>();
    private List<Incarnation> counted = List.of();
    private int emitted;
    private int losses;
    private boolean refusedByLink;
    private Optional<Instant> rechooseAt = Optional.empty();
    private Optional<Instant> lostAt = Optional.empty();

    ChatRun(long session, CallerRequest request, ChatRequest chat, String fingerprint, Parts parts) {
        this.session = session;
        this.request = request;
        this.chat = chat;
        this.fingerprint = fingerprint;
        this.parts = parts;
        this.agents = parts.agents();
        this.ends = parts.ends();
        long[] prompt = Tokenizer.encode(chat.contents());
        this.promptTokens = prompt.length;
        this.state = new PipelineSession(prompt, chat.maxTokens(), MAX_REBUILDS);
        this.text = new ChatText(request.id(), request.arrived(), chat.model());
    }

    /** Chooses the pipeline and opens it. */
    void start(Instant now) {
        use(parts.selection().chooseRepeatable(work(), now), now);
    }

    void on(StageOpened message, Instant now) {
        apply(state.onOpened(message.epoch(), message.stage(), message.position()), now);
    }

    void on(StageRefused message, Instant now) {
        Problem why = Problem.notRun(message.kind(), message.detail())
                .withRetryAfter(Duration.ofMillis(Math.max(0, message.retryAfterMillis())));
        apply(state.onLost(message.epoch(), message.stage(), why), now);
    }

    void on(StageLost message, Instant now) {
        noteFailure(message, now);
        apply(state.onLost(message.epoch(), message.stage(), Problem.notRun(message.kind(), message.detail())), now);
    }

    private void noteFailure(StageLost message, Instant now) {
        boolean present = message.epoch() == state.epoch() && !state.isAwaitingStages();
        if (present && message.stage() >= 0 && message.stage() < state.stages().size()) {
            losses++;
            parts.health().failed(state.stages().get(message.stage()), now);
        }
    }

    void on(Token message, Instant now) {
        apply(state.onGenerated(message.epoch(), message.position(), message.tokens()), now);
    }

    /** The link to an agent is lost; the agent may live. */
    void unlinked(Incarnation agent, String detail, Instant now) {
        apply(state.onLinkLost(agent, Problem.notRun(ProblemKind.BACKEND_LOST, detail)), now);
    }

    /** The life of an agent has ended. */
    void lost(Incarnation agent, String detail, Instant now) {
        apply(state.onLost(agent, Problem.notRun(ProblemKind.BACKEND_LOST, detail)), now);
    }

    /** Time passes. */
    void tick(Instant now) {
        if (rechooseAt.isPresent() && !now.isBefore(rechooseAt.get())) {
            rechooseAt = Optional.empty();
            rechoose(now);
        }
        if (!now.isBefore(request.deadline())) {
            giveUp(Problem.notRun(ProblemKind.DEADLINE_PASSED, "No whole answer came within the deadline."), now);
        }
    }

    /** Ends the session: its caller is gone, or the process stops. */
    void giveUp(Problem problem, Instant now) {
        apply(state.fail(problem), now);
    }

    boolean isEnded() {
        return state.isEnded();
    }

    private void use(Either<Problem, Choice> choice, Instant now) {
        if (choice.isLeft()) {
            apply(state.fail(choice.getLeft()), now);
            return;
        }
        List<Incarnation> stages =
                choice.get().stages().stream().map(Candidate::incarnation).toList();
        ends.decided(
                request,
                now,
                "chosen",
                "epoch=" + (state.epoch() + 1) + " stages=" + stages + " expected_millis="
                        + choice.get().expectedTime().toMillis());
        count(stages, now);
        apply(state.assignStages(stages), now);
    }

    private void count(List<Incarnation> stages, Instant now) {
        long tokens = (long) promptTokens + chat.maxTokens();
        counted.stream().filter(agent -> !stages.contains(agent)).forEach(agents::end);
        stages.stream().filter(agent -> !counted.contains(agent)).forEach(agent -> agents.begin(agent, tokens, now));
        counted = stages;
    }

    private RoutingRequest work() {
        int left = Math.max(1, chat.maxTokens() - state.generatedTokens());
        return new RoutingRequest(chat.model(), promptTokens, left, request.deadline(), "", state.failedAgents());
    }

    /** A send that fails adds to the actions, so they are done from a list and not by recursion. */
    private void apply(List<SessionAction> actions, Instant now) {
        todo.addAll(actions);
        SessionAction action = todo.poll();
        while (action != null) {
            perform(action, now);
            action = todo.poll();
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
        } else if (action instanceof SessionAction.SelectStages rechoose) {
            lostAt = lostAt.or(() -> Optional.of(now));
            ends.decided(request, now, "rebuild", "why=" + rechoose.reason() + " failed=" + state.failedAgents());
            rechooseOrWait(now);
        } else if (action instanceof SessionAction.Close close) {
            agents.close(close.agent(), new CloseStage(session, close.epoch()), request.deadline());
        } else if (action instanceof SessionAction.Finish) {
            finish(now);
        } else if (action instanceof SessionAction.Fail fail) {
            fail(fail.problem(), now);
        }
    }

    /**
     * A request that crashed two backend servers is set aside once the second crash is reported. Its report comes
     * shortly after the loss; a third backend server chosen before that would crash as well.
     *
     * <p>A link that refuses a message may be closed without its end having reached this thread. Chosen again at once
     * it would refuse again, for ever, and this thread, which must hear of the end, would do nothing else: all
     * requests of the entry stood still.
     */
    private void rechooseOrWait(Instant now) {
        if (refusedByLink) {
            refusedByLink = false;
            rechooseAt = Optional.of(now.plus(RETRY_TIME));
        } else if (losses >= LOSSES_BEFORE_WAIT) {
            rechooseAt = Optional.of(now.plus(REPORT_TIME));
        } else {
            rechoose(now);
        }
    }

    private void rechoose(Instant now) {
        if (!state.isAwaitingStages()) {
            return;
        }
        Optional<Problem> stop = parts.admission().stop(fingerprint, now);
        if (stop.isPresent()) {
            giveUp(stop.get(), now);
            return;
        }
        Either<Problem, Choice> choice = parts.selection().replace(work(), state.stages(), now);
        if (choice.isLeft() && mayComeBack(now)) {
            rechooseAt = Optional.of(now.plus(RETRY_TIME));
        } else {
            use(choice, now);
        }
    }

    /**
     * Whether a stage whose link was lost may be back in a moment. A link that breaks between living processes is up
     * again within some tens of milliseconds, and the agent still holds its stage; giving up at once would fail
     * every session through it where there is no other replica.
     */
    private boolean mayComeBack(Instant now) {
        boolean patient = lostAt.isPresent() && now.isBefore(lostAt.get().plus(PATIENCE));
        return patient
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
        long budget = Math.max(0, Duration.between(now, request.deadline()).toMillis());
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
                    budget,
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
            todo.addAll(state.onLinkLost(state.stages().get(stage), why));
        }
    }

    private void emit(int[] tokens, Instant now) {
        StringBuilder piece = new StringBuilder();
        for (int token : tokens) {
            piece.append(Tokenizer.decode(token));
        }
        emitted += tokens.length;
        lostAt.ifPresent(at -> resumed(Duration.between(at, now), now));
        if (!chat.stream()) {
            answer.append(piece);
        } else if (!request.answer().event(text.chunk(piece.toString()))) {
            giveUp(CALLER_GONE, now);
        }
    }

    private void resumed(Duration gap, Instant now) {
        lostAt = Optional.empty();
        ends.timed("rebuild", gap);
        ends.decided(request, now, "resumed", "epoch=" + state.epoch() + " gap_millis=" + gap.toMillis());
    }

    private void finish(Instant now) {
        state.stages().forEach(agent -> parts.health().succeeded(agent, now));
        count(List.of(), now);
        String reason = emitted < chat.maxTokens() ? "stop" : "length";
        if (chat.stream()) {
            if (!request.answer().event(text.lastChunk(reason))) {
                ends.failed(request, CALLER_GONE, emitted, now);
                return;
            }
            ends.answered(request, emitted, now);
            request.answer().endStream();
        } else {
            byte[] body = text.whole(answer.toString(), reason, promptTokens, emitted);
            ends.answered(request, emitted, now);
            request.answer().whole(200, Headers.JSON, body);
        }
    }

    private void fail(Problem problem, Instant now) {
        count(List.of(), now);
        ends.failed(request, problem, emitted, now);
        request.answer().problem(problem);
    }

    /** The fingerprint of a chat request, without what does not change the work. */
    static byte[] identity(ChatRequest chat) {
        String all = chat.model() + "\n" + chat.maxTokens() + "\n" + String.join("\n", chat.contents());
        return all.getBytes(StandardCharsets.UTF_8);
    }
}
