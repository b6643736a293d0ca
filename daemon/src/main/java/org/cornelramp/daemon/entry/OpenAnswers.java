package org.cornelramp.daemon.entry;

import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.util.Callback;

/** Counts the answers that are not fully written yet. Safe for use by any thread. */
final class OpenAnswers {
    private final AtomicInteger count = new AtomicInteger();

    /** Returns the number of answers that are not fully written yet. */
    int count() {
        return count.get();
    }

    /** Counts an answer until its callback is completed. */
    Callback track(Callback callback) {
        count.incrementAndGet();
        return Callback.from(callback, count::decrementAndGet);
    }
}
