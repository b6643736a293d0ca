package org.cornelramp.core.settings;

import org.cornelramp.core.model.DataCentre;

/**
 * Settings of a gateway, checked. Immutable, safe for use by any thread.
 *
 * @param name names this process
 * @param dataCentre where it runs
 * @param requests address on which clients' requests are taken
 * @param readiness address on which the balancer asks whether this process is ready
 * @param metrics address on which the metrics are read
 * @param peers address on which news of other gateways are taken
 * @param store address of the platform's store
 * @param timing times that the platform agreed on
 * @param retries bounds of repeated requests
 */
public record GatewaySettings(
        String name,
        DataCentre dataCentre,
        HostPort requests,
        HostPort readiness,
        HostPort metrics,
        HostPort peers,
        HostPort store,
        Timing timing,
        Retries retries) {

    /**
     * Times that the platform agreed on, in milliseconds. Immutable, safe for use by any thread.
     *
     * @param heartbeatMillis interval of the backend servers' registrations
     * @param drainMillis time for which a leaving backend server serves on; read and checked, but nothing decides by it
     * @param graceMillis time from the stop signal until the process is killed
     * @param stallMillis time that work waits for a dead engine until it is cut off
     */
    public record Timing(long heartbeatMillis, long drainMillis, long graceMillis, long stallMillis) {}

    /**
     * Bounds of repeated requests, for all processes together. Immutable, safe for use by any thread.
     *
     * @param ratio repeats for each request
     * @param reserve repeats besides, within a window
     * @param windowMillis length of a window
     */
    public record Retries(double ratio, double reserve, long windowMillis) {}
}
