package org.cornelramp.daemon.kernel;

import java.time.Clock;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.ServiceLoader;

/**
 * Starts the components of all plug-ins that serve the role, and stops them in reverse order.
 *
 * <p>Confined to the main thread, except for {@link #isDrained}, which only reads. Invariant: a component is stopped
 * only after all work in progress has ended or the drain limit has passed.
 */
public final class Kernel {
    private static final System.Logger LOG = System.getLogger(Kernel.class.getName());
    private static final long POLL_MILLIS = 20;

    private final Registry registry;
    private final Clock clock;
    private final List<Component> started = new ArrayList<>();

    public Kernel(Registry registry, Clock clock) {
        this.registry = registry;
        this.clock = clock;
    }

    /** Loads the plug-ins, registers them in order, and starts the components that they added. */
    public void start() throws Exception {
        List<Plugin> plugins = new ArrayList<>();
        ServiceLoader.load(Plugin.class).forEach(plugins::add);
        plugins.sort(Comparator.comparingInt(Plugin::order));
        for (Plugin plugin : plugins) {
            if (plugin.servesRole(registry.settings().role())) {
                plugin.register(registry);
            }
        }
        for (Component component : registry.components()) {
            component.start();
            started.add(component);
        }
    }

    /** Drains all components; returns true if all work ended before the limit. */
    public boolean drain(Instant limit) throws InterruptedException {
        started.forEach(component -> component.drain(limit));
        while (!isDrained()) {
            if (!clock.instant().isBefore(limit)) {
                reportUndrained();
                return false;
            }
            Thread.sleep(POLL_MILLIS);
        }
        return true;
    }

    /** Whether no component has work in progress. */
    public boolean isDrained() {
        return started.stream().allMatch(Component::isDrained);
    }

    /** Stops all components in reverse start order. */
    public void stop() {
        List<Component> reverse = new ArrayList<>(started);
        Collections.reverse(reverse);
        reverse.forEach(Component::stop);
        started.clear();
    }

    private void reportUndrained() {
        started.stream()
                .filter(component -> !component.isDrained())
                .forEach(component -> LOG.log(
                        System.Logger.Level.WARNING,
                        "kernel: work in progress was aborted at the drain limit; component=" + component.name()));
    }
}
