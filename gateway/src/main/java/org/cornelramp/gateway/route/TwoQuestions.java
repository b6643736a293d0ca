package org.cornelramp.gateway.route;

import io.vavr.control.Either;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cornelramp.platform.EngineReport;
import org.cornelramp.platform.StoreFault;

/**
 * Two questions to one engine, of which the first answer counts; that there is none is told when both have failed, or one
 * has found that nothing listens there. Safe for use by any thread.
 *
 * <p>Invariant: the result is told once.
 */
final class TwoQuestions {
    private final Consumer<Either<StoreFault, EngineReport>> told;
    private final CountDownLatch settled = new CountDownLatch(1);
    private int failures;

    /** @param told takes the result, on the thread that brings it */
    TwoQuestions(Consumer<Either<StoreFault, EngineReport>> told) {
        this.told = told;
    }

    /** Waits for the first question to settle it; whether it did in time. */
    boolean isSettledWithin(long millis) {
        try {
            return settled.await(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Takes the end of one question. */
    void ended(Either<StoreFault, EngineReport> report) {
        if (isToTell(report)) {
            told.accept(report);
        }
    }

    private synchronized boolean isToTell(Either<StoreFault, EngineReport> report) {
        boolean open = settled.getCount() > 0;
        if (report.isRight() || report.getLeft().kind() == StoreFault.Kind.NOT_LISTENING) {
            settled.countDown();
            return open;
        }
        failures++;
        return open && failures == 2;
    }
}
