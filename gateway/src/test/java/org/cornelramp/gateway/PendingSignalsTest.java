package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Signals that a process receives while it starts. */
public class PendingSignalsTest {
    private final List<String> handled = new ArrayList<>();

    /** Guards against a process that loses the signals which it receives while it starts. */
    @Test
    public void signalsBeforeTheHandlersAreHandledOnce() {
        PendingSignals signals = new PendingSignals();
        signals.stop();
        signals.reload();
        signals.handle(() -> handled.add("stop"), () -> handled.add("reload"));
        assertEquals(handled, List.of("reload", "stop"));
        signals.reload();
        signals.stop();
        assertEquals(handled, List.of("reload", "stop", "reload", "stop"));
    }
}
