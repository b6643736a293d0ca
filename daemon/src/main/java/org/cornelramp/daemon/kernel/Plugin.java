package org.cornelramp.daemon.kernel;

import org.cornelramp.core.settings.Role;

/**
 * A part of the daemon that registers itself: it is named in {@code META-INF/services} and needs no other wiring.
 *
 * <p>Called by the kernel's thread only. Implementations have a public constructor without arguments and no state.
 */
public interface Plugin {

    /** Name of the part, for logs. */
    String name();

    /** Place in the start order, low first; a plug-in finds only what those before it have shared. */
    int order();

    /** Whether a daemon of this role has the part. */
    boolean servesRole(Role role);

    /** Builds the part's components and adds them to the registry, without starting anything. */
    void register(Registry registry);
}
