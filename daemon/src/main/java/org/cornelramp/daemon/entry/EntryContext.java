package org.cornelramp.daemon.entry;

import java.time.Clock;
import java.util.function.BooleanSupplier;

/**
 * What the handlers of callers' requests work with. Immutable, safe for use by any thread.
 *
 * @param clock the clock
 * @param intake where requests go
 * @param callers who calls
 * @param ends records of ends
 * @param maxBodyBytes largest body
 * @param maxWaitingBytes most bytes of a stream that may wait for its caller
 * @param keyWindowMillis age at which keys are refused
 * @param draining whether the entry is stopping
 * @param open answers that are not out yet
 */
record EntryContext(
        Clock clock,
        RequestIntake intake,
        Callers callers,
        Ends ends,
        int maxBodyBytes,
        int maxWaitingBytes,
        long keyWindowMillis,
        BooleanSupplier draining,
        OpenAnswers open) {}
