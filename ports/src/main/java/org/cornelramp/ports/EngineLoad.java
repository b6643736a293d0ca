package org.cornelramp.ports;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * An engine's own load report, which may be out of date. Immutable, safe for use by any thread.
 *
 * @param at time at which it was current, in milliseconds since 1970
 * @param running sessions in the current iteration
 * @param waiting queued steps
 * @param kvUsed positions in the KV cache
 * @param kvLimit positions that the KV cache can hold
 * @param tokensPerSecond recent throughput
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EngineLoad(long at, int running, int waiting, long kvUsed, long kvLimit, double tokensPerSecond) {}
