package org.cornelramp.gateway.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cornelramp.core.routing.RoutingConfig;

/**
 * The configuration in force. Safe for use by any thread.
 *
 * <p>Invariant: the version never decreases. A read that is in progress while a newer version arrives must not restore
 * the older one; otherwise a revoked key would be accepted again.
 */
public final class ConfigHolder {
    private final AtomicReference<Published> current = new AtomicReference<>();
    private final List<Runnable> callbacks = new ArrayList<>();

    /**
     * A configuration and the bytes in which it was published, for peers. Immutable; the bytes must not be modified.
     *
     * @param config the configuration
     * @param source the text that the operators wrote
     */
    public record Published(RoutingConfig config, byte[] source) {
        long version() {
            return config.version();
        }
    }

    /** Puts a configuration in force if its version is newer; true if it was. */
    public boolean offer(RoutingConfig config, byte[] source) {
        Published offered = new Published(config, source);
        Published before =
                current.getAndUpdate(old -> old == null || offered.version() > old.version() ? offered : old);
        if (before == null) {
            removeCallbacks().forEach(Runnable::run);
        }
        return before == null || offered.version() > before.version();
    }

    private synchronized List<Runnable> removeCallbacks() {
        List<Runnable> all = List.copyOf(callbacks);
        callbacks.clear();
        return all;
    }

    /** Calls back once there is a configuration, immediately if there is one already; the callback must not block. */
    public void whenKnown(Runnable callback) {
        synchronized (this) {
            if (current.get() == null) {
                callbacks.add(callback);
                return;
            }
        }
        callback.run();
    }

    /** The configuration in force; empty until the first is known. */
    public Optional<RoutingConfig> current() {
        return published().map(Published::config);
    }

    /** The configuration in force with its source; empty until the first is known. */
    public Optional<Published> published() {
        return Optional.ofNullable(current.get());
    }
}
