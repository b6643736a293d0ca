package org.cornelramp.daemon.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * The sections of the status document for operators, to which each part of the daemon adds its own. Safe for use by any
 * thread.
 */
public final class StatusSections {
    private final Map<String, Supplier<JsonNode>> sections = new ConcurrentHashMap<>();

    /**
     * Adds a section.
     *
     * @param name name of the section, such as {@code links}
     * @param source returns the current section as JSON; called by any thread, must not block
     */
    public void add(String name, Supplier<JsonNode> source) {
        if (sections.putIfAbsent(name, source) != null) {
            throw new IllegalStateException("Two plug-ins add the status section " + name + "; rename one of them");
        }
    }

    /** Returns all sections, sorted by name. */
    public SortedMap<String, JsonNode> read() {
        SortedMap<String, JsonNode> status = new TreeMap<>();
        sections.forEach((name, source) -> status.put(name, source.get()));
        return status;
    }
}
