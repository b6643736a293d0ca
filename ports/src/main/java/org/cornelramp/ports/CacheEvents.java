package org.cornelramp.ports;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * Cache events of an engine: late, and with gaps. Immutable, safe for use by any thread.
 *
 * @param next number to read from next
 * @param events the events
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record CacheEvents(long next, List<CacheEvent> events) {}
