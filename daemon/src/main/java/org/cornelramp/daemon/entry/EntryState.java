package org.cornelramp.daemon.entry;

import java.time.Instant;
import org.cornelramp.daemon.kernel.Component;

/**
 * Whether the entry accepts new requests.
 *
 * <p>Safe for use by any thread. Invariants: a drain ends only with the process; it interrupts no request in progress.
 */
final class EntryState implements Component {
    private static final System.Logger LOG = System.getLogger(EntryState.class.getName());

    private final Router router;
    private final OpenAnswers openAnswers;
    private volatile boolean draining;

    EntryState(Router router, OpenAnswers openAnswers) {
        this.router = router;
        this.openAnswers = openAnswers;
    }

    boolean isDraining() {
        return draining;
    }

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public void start() {}

    @Override
    public void drain(Instant limit) {
        draining = true;
        LOG.log(System.Logger.Level.INFO, "entry: drain begins; in_progress=" + router.inProgress());
    }

    @Override
    public boolean isDrained() {
        // The router may have finished a request whose last bytes are still being written to a slow caller.
        return openAnswers.count() == 0 && router.inProgress() == 0;
    }

    @Override
    public void stop() {}
}
