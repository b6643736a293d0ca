package org.cornelramp.daemon.kernel;

import org.cornelramp.core.settings.Role;

/**
 * A part of the daemon that is found by {@link java.util.ServiceLoader}: it is listed in {@code META-INF/services} and
 * needs no other wiring.
 *
 * <p>Called by the kernel's thread only. Implementations have a public constructor without arguments and no state.
 */
public interface Plugin {

    /** Returns the name of the part, for logs. */
    String name();

    /**
     * Returns the position in the start order, lowest first; a plug-in finds only objects that earlier ones have
     * shared.
     */
    int order();

    /** Whether a daemon of this role includes the part. */
    boolean servesRole(Role role);

    /** Builds the part's components and adds them to the registry, without starting anything. */
    void register(Registry registry);
}
