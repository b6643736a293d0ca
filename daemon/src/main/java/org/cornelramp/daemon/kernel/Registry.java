package org.cornelramp.daemon.kernel;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelramp.core.settings.DaemonSettings;

/**
 * Gives a plug-in, while it registers, the settings, the clock, the meters and the objects that earlier plug-ins
 * shared, and collects the components that it adds.
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

    /** Returns the settings of this daemon. */
    public DaemonSettings settings() {
        return settings;
    }

    /**
     * Returns the clock of this daemon. Only code that does I/O reads it; functions that decide take the time as an
     * argument.
     */
    public Clock clock() {
        return clock;
    }

    /** Returns the registry for meters. */
    public MeterRegistry meters() {
        return meters;
    }

    /** Shares an object with the plug-ins that register later. */
    public <T> void share(Class<T> type, T object) {
        if (shared.putIfAbsent(type, object) != null) {
            throw new IllegalStateException("Two plug-ins share a " + type.getSimpleName() + "; remove one of them");
        }
    }

    /** Returns the object of this type that an earlier plug-in shared. */
    public <T> T require(Class<T> type) {
        Object object = shared.get(type);
        if (object == null) {
            throw new IllegalStateException(
                    "No plug-in shares a " + type.getSimpleName() + "; raise the order of the one that needs it");
        }
        return type.cast(object);
    }

    /** Adds a component; components start in the order in which they are added. */
    public void add(Component component) {
        components.add(component);
    }

    /** Returns the components in the order in which they were added. */
    public List<Component> components() {
        return List.copyOf(components);
    }
}
