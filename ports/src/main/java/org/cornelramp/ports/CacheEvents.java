package org.cornelramp.ports;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * Cache events of an engine, which may be late and have gaps. Immutable, safe for use by any thread.
 *
 * @param next number from which to continue reading
 * @param events the events
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record CacheEvents(long next, List<CacheEvent> events) {}
