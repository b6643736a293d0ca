package org.cornelramp.gateway.route;

import io.vavr.control.Either;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelramp.platform.EngineReport;
import org.cornelramp.platform.PlatformFault;

/**
 * Combines two calls to one engine into one result: the first answer, or the failure once both calls have failed or one
 * of them has found that nothing listens at the address. Safe for use by any thread.
 *
 * <p>Invariant: the result is delivered once.
 */
final class ProbePair {
    private final Consumer<Either<PlatformFault, EngineReport>> onResult;
    private final CountDownLatch settled = new CountDownLatch(1);
    private int failures;

    /** @param onResult receives the result, on the thread that delivers it */
    ProbePair(Consumer<Either<PlatformFault, EngineReport>> onResult) {
        this.onResult = onResult;
    }

    /** Waits for a result that settles the probe; whether there was one in time. */
    boolean awaitResult(long millis) {
        try {
            return settled.await(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Handles the end of one call. */
    void handleCallEnd(Either<PlatformFault, EngineReport> report) {
        if (isDecisive(report)) {
            onResult.accept(report);
        }
    }

    private synchronized boolean isDecisive(Either<PlatformFault, EngineReport> report) {
        boolean open = settled.getCount() > 0;
        if (report.isRight() || report.getLeft().kind() == PlatformFault.Kind.NOT_LISTENING) {
            settled.countDown();
            return open;
        }
        failures++;
        return open && failures == 2;
    }
}
