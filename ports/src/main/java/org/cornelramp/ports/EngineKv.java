package org.cornelramp.ports;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * The exported KV cache of one session. Immutable if the array is not changed.
 *
 * @param position next position to run
 * @param layers state of each layer
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EngineKv(int position, long[] layers) {}
