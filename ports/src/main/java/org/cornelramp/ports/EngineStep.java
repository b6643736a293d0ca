package org.cornelramp.ports;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * Inputs of consecutive positions of one session. Immutable if the array is not changed.
 *
 * @param session the session, as 16 hexadecimal digits
 * @param position position of the first input
 * @param inputs one activation, or token number, for each position
 * @param priority from 0, the highest, to 9
 * @param epoch epoch of the session under which the step runs, for the engine's trace
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EngineStep(String session, int position, long[] inputs, int priority, int epoch) {}
