package org.cornelramp.daemon.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** What operators see in status: each part adds a section of its own. Safe for use by any thread. */
public final class StatusBoard {
    private final Map<String, Supplier<JsonNode>> sections = new ConcurrentHashMap<>();

    /**
     * Adds a section.
     *
     * @param name name of the section, such as {@code links}
     * @param source gives the section as JSON at the time of asking; called by any thread, must not block
     */
    public void add(String name, Supplier<JsonNode> source) {
        if (sections.putIfAbsent(name, source) != null) {
            throw new IllegalStateException("Two plug-ins give the status section " + name + "; rename one of them");
        }
    }

    /** All sections, in the order of their names. */
    public SortedMap<String, JsonNode> read() {
        SortedMap<String, JsonNode> status = new TreeMap<>();
        sections.forEach((name, source) -> status.put(name, source.get()));
        return status;
    }
}
