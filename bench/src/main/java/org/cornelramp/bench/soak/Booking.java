package org.cornelramp.bench.soak;

import org.cornelramp.bench.load.Sample;

/**
 * One booking and how it ended for its caller. Immutable, safe for use by any thread.
 *
 * @param body body of the call, unlike that of any other booking
 */
public record Booking(String body, Sample sample) {}
