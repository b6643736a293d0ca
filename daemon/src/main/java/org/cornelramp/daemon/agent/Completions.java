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
 * Brings the ends of calls to the backend server back to the agent's duty. Safe for use by any thread.
 *
 * <p>A lost completion would lose the outcome of a call that has run. So where the ring is full, completions wait
 * aside until the next tick; they are at most as many as the calls in flight, which are bounded by themselves.
 */
final class Completions {
    private final Predicate<AgentEvent> duty;
    private final Queue<Runnable> aside = new ConcurrentLinkedQueue<>();

    /**
     * @param duty offers an event to the duty; false when its ring is full
     */
    Completions(Predicate<AgentEvent> duty) {
        this.duty = duty;
    }

    /** Handles the result or the failure of a call on the duty's thread; one of the two is null. */
    <T> void on(CompletableFuture<T> call, BiConsumer<T, Throwable> then) {
        CompletableFuture<T> unused =
                call.whenComplete((result, failure) -> post(() -> then.accept(result, unwrapped(failure))));
    }

    /**
     * Makes a call and handles its end as {@link #on} does. A client that refuses a request by throwing, as for a path
     * that is no URL, has sent nothing; without this the call would keep its slot and its caller for ever.
     */
    <T> void call(Supplier<CompletableFuture<T>> call, BiConsumer<T, Throwable> then) {
        CompletableFuture<T> future;
        try {
            future = call.get();
        } catch (RuntimeException e) {
            future = CompletableFuture.failedFuture(
                    new PlatformException(PlatformException.Kind.REFUSED, "Not sent: " + e.getMessage(), 0));
        }
        on(future, then);
    }

    private void post(Runnable then) {
        if (!duty.test(new AgentEvent.Completed(then))) {
            aside.add(then);
        }
    }

    /** Runs what waits aside; called on the duty's thread. */
    void runAside() {
        Runnable then = aside.poll();
        while (then != null) {
            then.run();
            then = aside.poll();
        }
    }

    private static Throwable unwrapped(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
