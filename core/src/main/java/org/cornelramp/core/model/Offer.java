package org.cornelramp.core.model;

import java.util.Optional;

/**
 * What one backend server offers to run. Immutable, safe for use by any thread.
 *
 * @param service the model or plain service
 * @param layers the layers held, for a model; empty for a plain service
 * @param version version of the model or service
 * @param accelerator kind of accelerator, for reports
 * @param slots requests that the backend server runs at the same time
 */
public record Offer(ServiceName service, Optional<LayerRange> layers, String version, String accelerator, int slots) {

    /** Whether the backend server holds layers of a model. */
    public boolean isStage() {
        return layers.isPresent();
    }
}
