package org.cornelramp.ports;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Optional;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.ServiceName;

/**
 * What a backend server offers. Immutable, safe for use by any thread.
 *
 * @param service name of the model or service
 * @param layers layers held by an engine; empty from a plain service
 * @param version loaded version
 * @param accelerator kind of accelerator
 * @param slots number of requests that it can run at once
 * @param life text that changes when the backend server restarts
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record BackendOffer(
        ServiceName service, Optional<LayerRange> layers, String version, String accelerator, int slots, String life) {}
