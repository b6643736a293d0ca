package org.cornelramp.core.selection;

import java.time.Duration;
import java.util.List;

/**
 * The backend servers chosen for one request. Immutable, safe for use by any thread.
 *
 * @param stages one for a plain service; for a model, the stages in order of their layers
 * @param expectedTime expected time until the answer is complete
 */
public record Choice(List<Candidate> stages, Duration expectedTime) {}
