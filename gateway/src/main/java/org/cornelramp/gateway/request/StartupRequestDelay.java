package org.cornelramp.gateway.request;

import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelramp.gateway.route.ConfigHolder;
import org.eclipse.jetty.server.Request;

/**
 * Holds the requests that come while a process that has just started reads its configuration.
 *
 * <p>After a crash the clients of all gateways come back in the same moment, and the configuration is known some hundred
 * milliseconds after the first connection is taken. Refused in between, a client that repeats once has used up its repeat,
 * or comes back seconds later; held, it is served a moment late. Held only just after the start and for a short time:
 * without a store that answers nobody knows when a configuration comes, and then a refusal at once is the better answer.
 * Safe for use by any thread.
 */
final class EarlyRequests {
    /** Time after the start in which requests are held, in milliseconds: three times a start's usual reading. */
    private static final long START_MILLIS = 3_000;

    /** Longest time that one request is held, in milliseconds: a client's usual patience for an idle service. */
    private static final long HELD_MILLIS = 1_000;

    /** Most requests held: some seconds of a busy gateway's. */
    private static final int MOST = 256;

    private final ConfigHolder config;
    private final long startMillis;
    private final AtomicInteger held = new AtomicInteger();

    /** @param startMillis when this process started, on the steady clock */
    EarlyRequests(ConfigHolder config, long startMillis) {
        this.config = config;
        this.startMillis = startMillis;
    }

    /**
     * Holds a request if that makes sense now.
     *
     * @param then goes on with it, called once: when a configuration is known, or when the time is over
     * @return whether it is held
     */
    boolean hold(Request request, Runnable then, long nowMillis) {
        if (nowMillis - startMillis > START_MILLIS || held.get() >= MOST) {
            return false;
        }
        held.incrementAndGet();
        Executor executor = request.getComponents().getExecutor();
        AtomicBoolean released = new AtomicBoolean();
        Runnable release = () -> {
            if (released.compareAndSet(false, true)) {
                held.decrementAndGet();
                executor.execute(then);
            }
        };
        request.getComponents().getScheduler().schedule(release, HELD_MILLIS, TimeUnit.MILLISECONDS);
        config.whenKnown(release);
        return true;
    }
}
