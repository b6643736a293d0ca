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
import org.cornelramp.core.route.Choice;
import org.cornelramp.core.route.RoutingRequest;
import org.cornelramp.core.text.Tokenizer;

/**
 * Takes callers' requests to the router: refuses what may not start, binds keys, and starts the rest.
 *
 * <p>{@link #chat}, {@link #call} and {@link #mint} may be called by any thread; false means that the router's ring
 * is full. The rest is confined to the router's thread.
 */
final class RequestIntake {
    private final Router router;
    private final Parts parts;
    private final RandomGenerator random;
    private KeyBinder binder;

    RequestIntake(Router router, Parts parts, RandomGenerator random) {
        this.router = router;
        this.parts = parts;
        this.random = random;
    }

    /** Joins the binder, which needs the intake itself; called before the start. */
    void connect(KeyBinder keyBinder) {
        binder = keyBinder;
    }

    /**
     * Takes a chat completion.
     *
     * @param onCallerGone takes what is to be run when the caller is found gone
     */
    boolean chat(CallerRequest request, ChatRequest chat, String fingerprint, Consumer<Runnable> onCallerGone) {
        return router.run(now -> {
            Optional<Problem> refusal =
                    parts.admission().admit(request, fingerprint, chat.maxTokens(), router.count(), now);
            if (refusal.isPresent()) {
                router.refuse(request, refusal.get(), now);
                return;
            }
            long session = random.nextLong();
            onCallerGone.accept(() -> router.must(at -> router.callerGone(session, at)));
            startOrWait(session, request, chat, fingerprint, now);
        });
    }

    private void startOrWait(long session, CallerRequest request, ChatRequest chat, String fingerprint, Instant now) {
        RoutingRequest work = new RoutingRequest(
                chat.model(),
                Tokenizer.encode(chat.contents()).length,
                chat.maxTokens(),
                request.deadline(),
                "",
                Set.of());
        if (!parts.waiting().mustWait(work, now)) {
            router.startChat(session, request, chat, fingerprint, now);
            return;
        }
        parts.ends().decided(request, now, "waits", "reason=no-free-slot");
        Consumer<Instant> start = at -> router.startChat(session, request, chat, fingerprint, at);
        parts.waiting()
                .offer(session, request, work, start, router::refuse, now)
                .ifPresent(problem -> router.refuse(request, problem, now));
    }

    /**
     * Takes a call to a plain service.
     *
     * @param refusal why it is refused already, if so; a call with a key is still settled with its agent
     */
    boolean call(ServiceRequest call, Optional<IdempotencyKey> key, Optional<Problem> refusal) {
        return router.run(now -> {
            Optional<Problem> why = refusal.or(
                    () -> parts.admission().admit(call.request(), call.fingerprint(), 0, router.count(), now));
            if (key.isEmpty()) {
                router.startCall(call, Optional.empty(), why, now);
            } else if (key.get() instanceof Ticket ticket) {
                router.startCall(call, Optional.of(new Bound(ticket.incarnation(), ticket.madeAt())), why, now);
            } else if (key.get() instanceof UuidKey own) {
                bind(call, own, why, now);
            }
        });
    }

    /** Takes a request for a ticket. */
    boolean mint(CallerRequest request, Consumer<Ticket> then) {
        return router.run(now -> {
            Either<Problem, Incarnation> agent = agent(request, now);
            if (agent.isLeft()) {
                parts.ends().refused(agent.getLeft());
                request.answer().problem(agent.getLeft());
                return;
            }
            parts.ends().decided(request, now, "minted", "agent=" + agent.get());
            then.accept(new Ticket(agent.get(), Instant.ofEpochMilli(now.toEpochMilli()), random.nextLong()));
        });
    }

    /** Starts a call whose key was found bound. */
    void startBound(ServiceRequest call, KeyIndex.Binding binding, Optional<Problem> refusal, Instant now) {
        if (!binding.fingerprint().equals(call.fingerprint())) {
            Problem reused = Problem.notRun(
                    ProblemKind.KEY_REUSED, "The key is bound to another request; this one did not run.");
            router.refuse(call.request(), reused, now);
            return;
        }
        parts.ends().decided(call.request(), now, "bound", "agent=" + binding.incarnation());
        router.startCall(call, Optional.of(new Bound(binding.incarnation(), binding.boundAt())), refusal, now);
    }

    private void bind(ServiceRequest call, UuidKey key, Optional<Problem> refusal, Instant now) {
        Either<Problem, Incarnation> agent = agent(call.request(), now);
        if (agent.isLeft()) {
            binder.denyUnlessBound(call, agent.getLeft(), now);
            return;
        }
        KeyRecord.Bind bind = new KeyRecord.Bind(
                key.text(), call.request().row().key().organisation(), agent.get(), call.fingerprint());
        binder.bind(call, bind, refusal, now);
    }

    private Either<Problem, Incarnation> agent(CallerRequest request, Instant now) {
        RoutingRequest work = new RoutingRequest(request.row().key().service(), 0, 0, request.deadline(), "", Set.of());
        Either<Problem, Choice> choice = parts.selection().choose(work, now);
        return choice.map(chosen -> chosen.stages().get(0).incarnation());
    }
}
