package org.cornelramp.gateway.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cornelramp.core.routing.RoutingConfig;

/**
 * The configuration in force. Safe for use by any thread.
 *
 * <p>Invariant: its version never falls. A read that was under way while a newer version came must not bring the
 * older one back, or a key that was taken away would open again.
 */
public final class ConfigHolder {
    private final AtomicReference<Published> current = new AtomicReference<>();
    private final List<Runnable> waiting = new ArrayList<>();

    /**
     * A version and the bytes in which it was published, for peers. Immutable; the bytes are not to be changed.
     *
     * @param config the version
     * @param source what the operators wrote
     */
    public record Published(RoutingConfig config, byte[] source) {
        long version() {
            return config.version();
        }
    }

    /** Takes a version if it is newer; true if it was. */
    public boolean offer(RoutingConfig config, byte[] source) {
        Published offered = new Published(config, source);
        Published before =
                current.getAndUpdate(old -> old == null || offered.version() > old.version() ? offered : old);
        if (before == null) {
            takeWaiting().forEach(Runnable::run);
        }
        return before == null || offered.version() > before.version();
    }

    private synchronized List<Runnable> takeWaiting() {
        List<Runnable> all = List.copyOf(waiting);
        waiting.clear();
        return all;
    }

    /** Calls back when there is a configuration, at once if there is one; the callback must not block. */
    public void whenKnown(Runnable callback) {
        synchronized (this) {
            if (current.get() == null) {
                waiting.add(callback);
                return;
            }
        }
        callback.run();
    }

    /** The configuration in force; empty before the first. */
    public Optional<RoutingConfig> current() {
        return published().map(Published::config);
    }

    /** The configuration in force with its source; empty before the first. */
    public Optional<Published> published() {
        return Optional.ofNullable(current.get());
    }
}
