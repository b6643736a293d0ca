package org.cornelramp.wire.link;

import java.util.concurrent.ThreadLocalRandom;
import org.cornelramp.core.settings.HostPort;

/**
 * Says when one kept address is connected to again. Confined to the network thread, but for {@link #forget}.
 * Invariant: there is at most one link to the address, and none is due while there is one.
 */
final class Dialler {
    private static final long MILLI = 1_000_000L;

    final HostPort address;
    TcpLink link;

    private final Backoff backoff;
    private int failures;
    private long nextAt;
    private boolean waits;
    private volatile boolean forgotten;

    Dialler(HostPort address, LinkOptions options) {
        this.address = address;
        this.backoff = new Backoff(options.backoffBaseMillis(), options.backoffCapMillis());
    }

    boolean isDue(long now) {
        return link == null && !forgotten && (!waits || now - nextAt >= 0);
    }

    void succeeded() {
        failures = 0;
    }

    void failed(long now) {
        link = null;
        failures++;
        waits = true;
        nextAt = now + backoff.waitMillis(failures, ThreadLocalRandom.current().nextDouble()) * MILLI;
    }

    void forget() {
        forgotten = true;
    }
}
