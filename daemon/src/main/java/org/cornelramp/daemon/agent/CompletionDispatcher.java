package org.cornelramp.daemon.agent;

import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.cornelramp.ports.PlatformException;

/**
 * Passes the results of asynchronous calls to the agent's event loop thread. Safe for use by any thread.
 *
 * <p>A lost completion would lose the outcome of a call that has run. Completions that do not fit the ring therefore
 * wait in an overflow queue until the next tick. There are at most as many as calls in flight, which are bounded
 * elsewhere.
 */
final class CompletionDispatcher {
    private final Predicate<AgentEvent> eventSink;
    private final Queue<Runnable> overflow = new ConcurrentLinkedQueue<>();

    /**
     * @param eventSink offers an event to the event loop; returns false when its ring is full
     */
    CompletionDispatcher(Predicate<AgentEvent> eventSink) {
        this.eventSink = eventSink;
    }

    /** Handles the result or the failure of a call on the event loop thread; one of the two is null. */
    <T> void whenComplete(CompletableFuture<T> call, BiConsumer<T, Throwable> then) {
        CompletableFuture<T> unused =
                call.whenComplete((result, failure) -> post(() -> then.accept(result, unwrap(failure))));
    }

    /**
     * Makes a call and handles its result as {@link #whenComplete} does. A client that throws, for example because a
     * path is no valid URL, has sent nothing; this is handled as a refusal. Otherwise the call would occupy its slot
     * and its caller would wait forever.
     */
    <T> void invoke(Supplier<CompletableFuture<T>> call, BiConsumer<T, Throwable> then) {
        CompletableFuture<T> future;
        try {
            future = call.get();
        } catch (RuntimeException e) {
            future = CompletableFuture.failedFuture(
                    new PlatformException(PlatformException.Kind.REFUSED, "Not sent: " + e.getMessage(), 0));
        }
        whenComplete(future, then);
    }

    private void post(Runnable then) {
        if (!eventSink.test(new AgentEvent.Task(then))) {
            overflow.add(then);
        }
    }

    /** Runs the completions in the overflow queue; called on the event loop thread. */
    void runOverflow() {
        Runnable then = overflow.poll();
        while (then != null) {
            then.run();
            then = overflow.poll();
        }
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
