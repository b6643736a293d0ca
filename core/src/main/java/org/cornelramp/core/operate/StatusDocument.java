package org.cornelramp.core.operate;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/**
 * What one entry knows of itself, the agents and the platform. Immutable, safe for use by any thread.
 *
 * @param entry the entry
 * @param ready whether it takes work
 * @param reasons why it does not
 * @param sections what each part tells, by the section's name
 */
public record StatusDocument(String entry, boolean ready, List<String> reasons, Map<String, JsonNode> sections) {}
