package org.cornelramp.core.operate;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/**
 * Status of one entry, and of the agents and the platform as seen by it. Immutable, safe for use by any thread.
 *
 * @param entry the entry
 * @param ready whether it accepts work
 * @param reasons why it does not accept work
 * @param sections the status of each component, by the name of the section
 */
public record StatusDocument(String entry, boolean ready, List<String> reasons, Map<String, JsonNode> sections) {}
