package org.cornelramp.daemon.entry;

import java.time.Clock;
import java.util.function.BooleanSupplier;

/**
 * The collaborators and settings of the HTTP handlers for callers' requests. Immutable, safe for use by any thread.
 *
 * @param clock the clock
 * @param intake passes requests to the router
 * @param authenticator identifies callers and their organisations' rows
 * @param tracker records decisions and outcomes
 * @param maxBodyBytes maximum size of a request body in bytes
 * @param maxBufferedBytes maximum number of bytes of a stream that are buffered for its caller
 * @param keyWindowMillis age in milliseconds from which idempotency keys are refused
 * @param draining whether the entry is stopping
 * @param openAnswers answers that are not fully written yet
 */
record EntryContext(
        Clock clock,
        RequestIntake intake,
        CallerAuthenticator authenticator,
        RequestTracker tracker,
        int maxBodyBytes,
        int maxBufferedBytes,
        long keyWindowMillis,
        BooleanSupplier draining,
        OpenAnswers openAnswers) {}
