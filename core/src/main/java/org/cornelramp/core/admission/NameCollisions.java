package org.cornelramp.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Detects names of one kind that have the same hash in demand reports. Owned by one thread.
 *
 * <p>Invariant: at most {@value #MAX_NAMES} names are remembered; beyond that, it starts again without any.
 */
final class NameCollisions {
    private static final int MAX_NAMES = 4_096;

    private final Map<NameHash, String> names = new HashMap<>();
    private final Set<String> reported = new HashSet<>();
    private final List<Collision> found = new ArrayList<>();

    /** Two names with the same hash. Immutable, safe for use by any thread. */
    record Collision(String name, String other) {}

    /** The hash of a name, which is remembered. */
    NameHash hash(String name) {
        NameHash hash = NameHash.of(name);
        if (names.size() >= MAX_NAMES) {
            names.clear();
            reported.clear();
        }
        String first = names.putIfAbsent(hash, name);
        if (first != null && !first.equals(name) && found.size() < MAX_NAMES && reported.add(name)) {
            found.add(new Collision(name, first));
        }
        return hash;
    }

    /** Removes and returns the collisions that were found since the last call; each name is returned once. */
    List<Collision> takeFound() {
        List<Collision> taken = List.copyOf(found);
        found.clear();
        return taken;
    }
}
