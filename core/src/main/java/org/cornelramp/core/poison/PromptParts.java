package org.cornelramp.core.poison;

import java.util.Collection;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Names of parts of prompts among the suspects of crashes, beside the fingerprints of whole requests. Stateless, safe for
 * use by any thread.
 *
 * <p>A part is named {@code part:ID}, a group of parts {@code part:ID,ID}. Neither is ever a fingerprint, which is
 * hexadecimal.
 */
public final class PromptParts {
    private static final String PREFIX = "part:";
    private static final String SEPARATOR = ",";

    private PromptParts() {}

    /** Name of the part with an id. */
    public static String name(String id) {
        return PREFIX + id;
    }

    /** Whether a suspect is a part or a group of parts, and not a whole request. */
    public static boolean isPart(String suspect) {
        return suspect.startsWith(PREFIX);
    }

    /** Name of a group of parts, whatever their order. */
    static String groupName(Collection<String> parts) {
        SortedSet<String> ids = new TreeSet<>();
        parts.forEach(part -> ids.add(part.substring(PREFIX.length())));
        return PREFIX + String.join(SEPARATOR, ids);
    }

    /** The suspects that a name stands for: the parts of a group, or the one part or request. */
    static SortedSet<String> membersOf(String name) {
        if (!isPart(name)) {
            return new TreeSet<>(Set.of(name));
        }
        SortedSet<String> parts = new TreeSet<>();
        for (String id : name.substring(PREFIX.length()).split(SEPARATOR, -1)) {
            parts.add(name(id));
        }
        return parts;
    }
}
