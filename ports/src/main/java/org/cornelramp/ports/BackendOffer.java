package org.cornelramp.ports;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Optional;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.ServiceName;

/**
 * What a backend server holds. Immutable, safe for use by any thread.
 *
 * @param service model or service
 * @param layers layers held by an engine; empty from a plain service
 * @param version version that is loaded
 * @param accelerator kind of accelerator
 * @param slots requests run side by side
 * @param life text that changes when the backend server restarts
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record BackendOffer(
        ServiceName service, Optional<LayerRange> layers, String version, String accelerator, int slots, String life) {}
