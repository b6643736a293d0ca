package org.cornelramp.daemon.kernel;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelramp.core.settings.DaemonSettings;

/**
 * What a plug-in is given while it registers: the settings, the clock, the meters, what earlier plug-ins shared,
 * and the place to add components.
 *
 * <p>Confined to the kernel's thread.
 */
public final class Registry {
    private final DaemonSettings settings;
    private final Clock clock;
    private final MeterRegistry meters;
    private final Map<Class<?>, Object> shared = new HashMap<>();
    private final List<Component> components = new ArrayList<>();

    public Registry(DaemonSettings settings, Clock clock, MeterRegistry meters) {
        this.settings = settings;
        this.clock = clock;
        this.meters = meters;
    }

    /** The settings of this daemon. */
    public DaemonSettings settings() {
        return settings;
    }

    /** The clock of this daemon, read only at the edges; deciding functions take the time as an argument. */
    public Clock clock() {
        return clock;
    }

    /** Where meters are registered. */
    public MeterRegistry meters() {
        return meters;
    }

    /** Shares an object with the plug-ins that register later. */
    public <T> void share(Class<T> type, T object) {
        if (shared.putIfAbsent(type, object) != null) {
            throw new IllegalStateException("Two plug-ins share a " + type.getSimpleName() + "; remove one of them");
        }
    }

    /** What an earlier plug-in shared. */
    public <T> T need(Class<T> type) {
        Object object = shared.get(type);
        if (object == null) {
            throw new IllegalStateException(
                    "No plug-in shares a " + type.getSimpleName() + "; raise the order of the one that needs it");
        }
        return type.cast(object);
    }

    /** Adds a component, to be started after those added before. */
    public void add(Component component) {
        components.add(component);
    }

    /** The components in the order in which they were added. */
    public List<Component> components() {
        return List.copyOf(components);
    }
}
