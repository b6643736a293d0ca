package org.cornelramp.ports;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * Results of a batch of steps. Immutable if the arrays are not changed.
 *
 * @param life text that identifies the incarnation of the engine that ran them
 * @param results one result for each step, in the same order
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EngineStepResults(String life, List<EngineStepResult> results) {}
