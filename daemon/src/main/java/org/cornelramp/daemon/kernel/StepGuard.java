package org.cornelramp.daemon.kernel;

import java.util.function.Consumer;

/**
 * Runs the steps of a thread that must go on whatever one of them throws, errors of the virtual machine included: without
 * its thread a process would call itself ready and do nothing. Stateless, safe for use by any thread.
 */
public final class StepGuard {
    private StepGuard() {}

    /**
     * Runs a step; false if it threw something.
     *
     * @param onFailure told what it threw, to log it
     */
    public static boolean run(Runnable step, Consumer<Throwable> onFailure) {
        try {
            step.run();
            return true;
        } catch (RuntimeException | Error e) {
            report(e, onFailure);
            return false;
        }
    }

    @SuppressWarnings("EmptyCatch")
    private static void report(Throwable failure, Consumer<Throwable> onFailure) {
        try {
            onFailure.accept(failure);
        } catch (RuntimeException | Error e) {
            // there is no memory left for the log line; the next step may find some
        }
    }
}
