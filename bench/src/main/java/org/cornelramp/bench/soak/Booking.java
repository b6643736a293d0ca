package org.cornelramp.bench.soak;

import org.cornelramp.bench.load.Sample;

/**
 * One booking and its outcome as its caller saw it. Immutable, safe for use by any thread.
 *
 * @param body body of the call, unique among the bookings of a run
 */
public record Booking(String body, Sample sample) {}
