package org.cornelramp.daemon.entry;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cornelramp.core.key.IdempotencyKey;
import org.cornelramp.core.key.KeyIndex;
import org.cornelramp.core.key.KeyRecord;
import org.cornelramp.core.key.Ticket;
import org.cornelramp.core.key.UuidKey;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.selection.Choice;
import org.cornelramp.core.selection.RoutingRequest;
import org.cornelramp.core.text.Tokenizer;

/**
 * Submits callers' requests to the router: refuses those that may not start, binds keys, and starts or queues the
 * others.
 *
 * <p>{@link #submitChat}, {@link #submitCall} and {@link #submitTicketRequest} may be called by any thread and return
 * false if the router's ring is full. Everything else is confined to the router's thread.
 */
final class RequestIntake {
    private final Router router;
    private final RouterContext context;
    private final RandomGenerator random;
    private KeyBinder binder;

    RequestIntake(Router router, RouterContext context, RandomGenerator random) {
        this.router = router;
        this.context = context;
        this.random = random;
    }

    /** Sets the binder, which needs the intake to be constructed. Called before the start. */
    void connect(KeyBinder keyBinder) {
        binder = keyBinder;
    }

    /**
     * Submits a chat completion.
     *
     * @param onCallerGone receives the action to run when the caller has disconnected
     */
    boolean submitChat(CallerRequest request, ChatRequest chat, String fingerprint, Consumer<Runnable> onCallerGone) {
        return router.tryRun(now -> {
            Optional<Problem> refusal =
                    context.admission().admit(request, fingerprint, chat.maxTokens(), router.countInProgress(), now);
            if (refusal.isPresent()) {
                router.refuse(request, refusal.get(), now);
                return;
            }
            long session = random.nextLong();
            onCallerGone.accept(() -> router.runReliably(at -> router.callerGone(session, at)));
            startOrWait(session, request, chat, fingerprint, now);
        });
    }

    private void startOrWait(long session, CallerRequest request, ChatRequest chat, String fingerprint, Instant now) {
        RoutingRequest routingRequest = new RoutingRequest(
                chat.model(),
                Tokenizer.encode(chat.messages()).length,
                chat.maxTokens(),
                request.deadline(),
                "",
                Set.of());
        if (!context.chatQueue().mustWait(routingRequest, now)) {
            router.startChat(session, request, chat, fingerprint, now);
            return;
        }
        context.tracker().recordDecision(request, now, "waits", "reason=no-free-slot");
        Consumer<Instant> start = at -> router.startChat(session, request, chat, fingerprint, at);
        context.chatQueue()
                .offer(session, request, routingRequest, start, router::refuse, now)
                .ifPresent(problem -> router.refuse(request, problem, now));
    }

    /**
     * Submits a call to a plain service.
     *
     * @param refusal why the call is refused already, if it is; the agent of its key is still asked whether an earlier
     *     attempt ran
     */
    boolean submitCall(ServiceRequest call, Optional<IdempotencyKey> key, Optional<Problem> refusal) {
        return router.tryRun(now -> {
            Optional<Problem> reason = refusal.or(() ->
                    context.admission().admit(call.request(), call.fingerprint(), 0, router.countInProgress(), now));
            if (key.isEmpty()) {
                router.startCall(call, Optional.empty(), reason, now);
            } else if (key.get() instanceof Ticket ticket) {
                router.startCall(
                        call, Optional.of(new BoundIncarnation(ticket.incarnation(), ticket.madeAt())), reason, now);
            } else if (key.get() instanceof UuidKey ownKey) {
                bindKey(call, ownKey, reason, now);
            }
        });
    }

    /** Submits a request for a ticket. */
    boolean submitTicketRequest(CallerRequest request, Consumer<Ticket> callback) {
        return router.tryRun(now -> {
            Either<Problem, Incarnation> agent = chooseAgent(request, now);
            if (agent.isLeft()) {
                context.tracker().recordRefusal(agent.getLeft());
                request.answer().fail(agent.getLeft());
                return;
            }
            context.tracker().recordDecision(request, now, "minted", "agent=" + agent.get());
            callback.accept(new Ticket(agent.get(), Instant.ofEpochMilli(now.toEpochMilli()), random.nextLong()));
        });
    }

    /** Starts a call whose key is bound, or refuses it if the key is bound to another request. */
    void startBoundCall(ServiceRequest call, KeyIndex.Binding binding, Optional<Problem> refusal, Instant now) {
        if (!binding.fingerprint().equals(call.fingerprint())) {
            Problem reused = Problem.notRun(
                    ProblemKind.KEY_REUSED, "The key is bound to another request; this one did not run.");
            router.refuse(call.request(), reused, now);
            return;
        }
        context.tracker().recordDecision(call.request(), now, "bound", "agent=" + binding.incarnation());
        router.startCall(
                call, Optional.of(new BoundIncarnation(binding.incarnation(), binding.boundAt())), refusal, now);
    }

    private void bindKey(ServiceRequest call, UuidKey key, Optional<Problem> refusal, Instant now) {
        Either<Problem, Incarnation> agent = chooseAgent(call.request(), now);
        if (agent.isLeft()) {
            binder.denyUnlessBound(call, agent.getLeft(), now);
            return;
        }
        KeyRecord.Bind bind = new KeyRecord.Bind(
                key.text(), call.request().row().key().organisation(), agent.get(), call.fingerprint());
        binder.bind(call, bind, refusal, now);
    }

    private Either<Problem, Incarnation> chooseAgent(CallerRequest request, Instant now) {
        RoutingRequest routingRequest =
                new RoutingRequest(request.row().key().service(), 0, 0, request.deadline(), "", Set.of());
        Either<Problem, Choice> choice = context.selection().choose(routingRequest, now);
        return choice.map(chosen -> chosen.stages().get(0).incarnation());
    }
}
