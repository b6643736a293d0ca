package org.cornelramp.daemon.entry;

import java.time.Instant;
import org.cornelramp.daemon.kernel.Component;

/**
 * Whether the entry takes new requests.
 *
 * <p>Safe for use by any thread. Invariant: a drain never ends but by the end of the process, and cuts no request
 * in progress.
 */
final class EntryState implements Component {
    private static final System.Logger LOG = System.getLogger(EntryState.class.getName());

    private final Router router;
    private final OpenAnswers open;
    private volatile boolean draining;

    EntryState(Router router, OpenAnswers open) {
        this.router = router;
        this.open = open;
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
        // A request may have ended for the router while its last bytes still wait for a slow caller.
        return open.count() == 0 && router.inProgress() == 0;
    }

    @Override
    public void stop() {}
}
