package org.cornelramp.gateway.route;

import java.util.HashMap;
import java.util.Map;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.retry.RetryWindow;
import org.cornelramp.core.settings.GatewaySettings;

/** The repeats that this process may still send to each service. Owned by the router's duty. */
final class Repeats {
    /** Share of the common reserve that all processes take together; the rest is for those that just start. */
    private static final double RESERVE_SHARE = 0.8;

    /** Processes that share the reserve while peers are not known. */
    private static final int PROCESSES_GUESSED = 4;

    private final GatewaySettings.Retries bounds;
    private final Map<ServiceName, RetryWindow> windows = new HashMap<>();

    Repeats(GatewaySettings.Retries bounds) {
        this.bounds = bounds;
    }

    /** Notes a client's request. */
    void request(ServiceName service, long nowMillis) {
        window(service).request(nowMillis);
    }

    /** Takes one repeat; false if none is left now. */
    boolean tryRepeat(ServiceName service, int peers, long nowMillis) {
        int processes = Math.max(PROCESSES_GUESSED, peers + 1);
        return window(service).tryRepeat(bounds.reserve() * RESERVE_SHARE / processes, nowMillis);
    }

    private RetryWindow window(ServiceName service) {
        return windows.computeIfAbsent(service, any -> new RetryWindow(bounds.ratio(), bounds.windowMillis()));
    }
}
