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

/**
 * An agent of a booking service that runs each key at most once and answers repeated calls with the recorded result.
 */
final class FakeService {
    static final ServiceName NAME = new ServiceName("bookings");

    final FakeAgent agent;
    final AtomicInteger executions = new AtomicInteger();
    final Map<String, InvokeResult> record = new ConcurrentHashMap<>();

    /** Called before a call runs. If it returns false, the call neither runs nor is answered. */
    volatile Interceptor beforeRun = (link, invoke) -> true;

    /** Called after a call has run. If it returns false, the answer is withheld. */
    volatile Interceptor beforeAnswer = (link, invoke) -> true;

    /** A hook by which a test can intercept a call. */
    interface Interceptor {
        boolean intercept(Link link, Invoke invoke);
    }

    FakeService(String name, long incarnationNumber) {
        Offer offer = new Offer(NAME, Optional.empty(), "1", "none", 8);
        agent = new FakeAgent(new Incarnation(new BackendServerId(name), incarnationNumber), offer);
        agent.messageHandler = this::handle;
    }

    private void handle(Link link, Message message) {
        if (message instanceof Invoke invoke) {
            invoke(link, invoke);
        } else if (message instanceof Settle settle) {
            InvokeResult known = record.computeIfAbsent(settle.key(), key -> cancelled());
            link.send(withCallId(known, settle.call()));
        }
    }

    private void invoke(Link link, Invoke invoke) {
        if (!beforeRun.intercept(link, invoke)) {
            return;
        }
        InvokeResult result = invoke.key()
                .map(key -> record.computeIfAbsent(key, k -> run(invoke)))
                .orElseGet(() -> run(invoke));
        if (beforeAnswer.intercept(link, invoke)) {
            link.send(withCallId(result, invoke.call()));
        }
    }

    /** Sends the recorded answer of a call whose answer was withheld. */
    void sendRecordedAnswer(Link link, Invoke invoke) {
        link.send(withCallId(record.get(invoke.key().orElseThrow()), invoke.call()));
    }

    private InvokeResult run(Invoke invoke) {
        String text = invoke.idempotent()
                ? invoke.method() + " " + invoke.path()
                : "booked " + new String(invoke.body(), StandardCharsets.UTF_8) + " as " + executions.incrementAndGet();
        return new InvokeResult(
                0, Outcome.ANSWERED, Optional.empty(), "", 0, 200, "text/plain", text.getBytes(StandardCharsets.UTF_8));
    }

    private static InvokeResult cancelled() {
        return new InvokeResult(
                0,
                Outcome.NOT_RUN,
                Optional.of(ProblemKind.BACKEND_FAILED),
                "The key did not run and will never run.",
                0,
                0,
                "",
                new byte[0]);
    }

    private static InvokeResult withCallId(InvokeResult result, long call) {
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
