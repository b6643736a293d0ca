package org.cornelramp.ports;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * A prompt prefix entered or left the cache of an engine. Immutable, safe for use by any thread.
 *
 * @param seq number of the event; a gap means that events were lost
 * @param prefix hash of the prefix, in hexadecimal
 * @param held whether it is in the cache now
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record CacheEvent(long seq, String prefix, boolean held) {}
