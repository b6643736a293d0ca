package org.cornelramp.gateway.request;

import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.cornelramp.gateway.route.ConfigHolder;
import org.eclipse.jetty.server.Request;

/**
 * Delays requests that arrive while a process that has just started is still reading its configuration.
 *
 * <p>After a crash the clients of all gateways reconnect at the same moment, and the configuration becomes available
 * some hundred milliseconds after the first connection is accepted. A client that is refused in between uses up its
 * only retry, or retries seconds later; a delayed request is served a moment late instead. Requests are delayed only
 * shortly after the start and for a short time: while the store does not answer, it is unknown when a configuration
 * will arrive, and an immediate refusal is better. Safe for use by any thread.
 */
final class StartupRequestDelay {
    /**
     * Time after the start in which requests are delayed, in milliseconds: three times as long as a start usually
     * reads.
     */
    private static final long STARTUP_MILLIS = 3_000;

    /** Maximum delay of one request, in milliseconds: as long as clients usually wait for an idle service. */
    private static final long MAX_DELAY_MILLIS = 1_000;

    /** Maximum number of requests delayed at once: a few seconds' worth on a busy gateway. */
    private static final int MAX_DELAYED = 256;

    private final ConfigHolder config;
    private final long startMillis;
    private final AtomicInteger delayed = new AtomicInteger();

    /** @param startMillis when this process started, on the steady clock */
    StartupRequestDelay(ConfigHolder config, long startMillis) {
        this.config = config;
        this.startMillis = startMillis;
    }

    /**
     * Delays a request if the process has just started and the limit of delayed requests is not reached.
     *
     * @param resume resumes the request; called once, when a configuration is known or the maximum delay has passed
     * @return whether the request is delayed
     */
    boolean tryDelay(Request request, Runnable resume, long nowMillis) {
        if (nowMillis - startMillis > STARTUP_MILLIS || delayed.get() >= MAX_DELAYED) {
            return false;
        }
        delayed.incrementAndGet();
        Executor executor = request.getComponents().getExecutor();
        AtomicBoolean released = new AtomicBoolean();
        Runnable release = () -> {
            if (released.compareAndSet(false, true)) {
                delayed.decrementAndGet();
                executor.execute(resume);
            }
        };
        request.getComponents().getScheduler().schedule(release, MAX_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        config.whenKnown(release);
        return true;
    }
}
