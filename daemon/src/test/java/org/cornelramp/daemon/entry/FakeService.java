package org.cornelramp.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Offer;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.Invoke;
import org.cornelramp.wire.message.InvokeResult;
import org.cornelramp.wire.message.Message;
import org.cornelramp.wire.message.Settle;

/** An agent of a booking service that runs each key at most once and answers repeats from its record. */
final class FakeService {
    static final ServiceName NAME = new ServiceName("bookings");

    final FakeAgent agent;
    final AtomicInteger effects = new AtomicInteger();
    final Map<String, InvokeResult> record = new ConcurrentHashMap<>();

    /** Called before a call runs; false keeps it from running and from being answered. */
    volatile Step beforeRun = (link, invoke) -> true;

    /** Called when a call has run; false keeps its answer back. */
    volatile Step beforeAnswer = (link, invoke) -> true;

    /** One place where a test may step in. */
    interface Step {
        boolean at(Link link, Invoke invoke);
    }

    FakeService(String name, long life) {
        Offer offer = new Offer(NAME, Optional.empty(), "1", "none", 8);
        agent = new FakeAgent(new Incarnation(new BackendServerId(name), life), offer);
        agent.behaviour = this::on;
    }

    private void on(Link link, Message message) {
        if (message instanceof Invoke invoke) {
            invoke(link, invoke);
        } else if (message instanceof Settle settle) {
            InvokeResult known = record.computeIfAbsent(settle.key(), key -> cancelled());
            link.send(numbered(known, settle.call()));
        }
    }

    private void invoke(Link link, Invoke invoke) {
        if (!beforeRun.at(link, invoke)) {
            return;
        }
        InvokeResult result = invoke.key()
                .map(key -> record.computeIfAbsent(key, k -> run(invoke)))
                .orElseGet(() -> run(invoke));
        if (beforeAnswer.at(link, invoke)) {
            link.send(numbered(result, invoke.call()));
        }
    }

    /** Gives the recorded answer to a call that was kept back. */
    void answer(Link link, Invoke invoke) {
        link.send(numbered(record.get(invoke.key().orElseThrow()), invoke.call()));
    }

    private InvokeResult run(Invoke invoke) {
        String text = invoke.idempotent()
                ? invoke.method() + " " + invoke.path()
                : "booked " + new String(invoke.body(), StandardCharsets.UTF_8) + " as " + effects.incrementAndGet();
        return new InvokeResult(
                0, Outcome.ANSWERED, Optional.empty(), "", 0, 200, "text/plain", text.getBytes(StandardCharsets.UTF_8));
    }

    private static InvokeResult cancelled() {
        return new InvokeResult(
                0,
                Outcome.NOT_RUN,
                Optional.of(ProblemKind.BACKEND_FAILED),
                "The key never ran and never will.",
                0,
                0,
                "",
                new byte[0]);
    }

    private static InvokeResult numbered(InvokeResult result, long call) {
        return new InvokeResult(
                call,
                result.outcome(),
                result.kind(),
                result.detail(),
                result.retryAfterMillis(),
                result.status(),
                result.contentType(),
                result.body());
    }
}
