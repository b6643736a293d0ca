package org.cornelramp.ports;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Optional;

/**
 * Result of one step. Immutable if the array is not changed.
 *
 * @param session the session, as 16 hexadecimal digits
 * @param outputs one output for each input; absent on an error
 * @param error {@code gap}, {@code no-session}, {@code kv-full} or {@code cancelled}; absent on success
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EngineStepResult(String session, Optional<long[]> outputs, Optional<String> error) {}
