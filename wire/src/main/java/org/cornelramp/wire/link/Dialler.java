package org.cornelramp.wire.link;

import java.util.concurrent.ThreadLocalRandom;
import org.cornelramp.core.settings.HostPort;

/**
 * Decides when to reconnect to one address. Confined to the network thread, except for {@link #stop}.
 * Invariant: there is at most one link to the address, and no attempt is due while there is one.
 */
final class Dialler {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    final HostPort address;
    TcpLink link;

    private final Backoff backoff;
    private int failures;
    private long nextAttemptAt;
    private boolean backingOff;
    private volatile boolean stopped;

    Dialler(HostPort address, LinkOptions options) {
        this.address = address;
        this.backoff = new Backoff(options.backoffBaseMillis(), options.backoffCapMillis());
    }

    boolean isDue(long now) {
        return link == null && !stopped && (!backingOff || now - nextAttemptAt >= 0);
    }

    void recordSuccess() {
        failures = 0;
    }

    void recordFailure(long now) {
        link = null;
        failures++;
        backingOff = true;
        nextAttemptAt =
                now + backoff.delayMillis(failures, ThreadLocalRandom.current().nextDouble()) * NANOS_PER_MILLI;
    }

    void stop() {
        stopped = true;
    }
}
