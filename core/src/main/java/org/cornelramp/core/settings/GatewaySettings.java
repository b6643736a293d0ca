package org.cornelramp.core.settings;

import java.util.Optional;
import org.cornelramp.core.model.DataCentre;

/**
 * Validated settings of a gateway. Immutable, safe for use by any thread.
 *
 * @param name name of this process
 * @param dataCentre data centre of this process
 * @param requests address on which clients' requests are served
 * @param readiness address on which the load balancer checks whether this process is ready
 * @param metrics address on which the metrics are served
 * @param peers address on which messages of other gateways are received
 * @param store address of the platform's store
 * @param timing intervals and timeouts agreed with the platform
 * @param retries limits on retries
 * @param limits what the platform lets this process use; empty if it is not known
 * @param promptPrefix whether requests prefer engines that hold the beginning of their prompt
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
        Retries retries,
        Optional<Limits> limits,
        PromptPrefixes promptPrefix) {

    /**
     * Intervals and timeouts agreed with the platform, in milliseconds. Immutable, safe for use by any thread.
     *
     * @param heartbeatMillis interval of the backend servers' registrations
     * @param applyMillis time in which a change of the configuration that the store has accepted must be in force
     * @param drainMillis time for which a leaving backend server continues to serve, and so the time in which its
     *     leaving must be known
     * @param graceMillis time from the stop signal until the process is killed
     * @param stallMillis time that requests wait for a dead engine before they are cut off
     */
    public record Timing(
            long heartbeatMillis, long applyMillis, long drainMillis, long graceMillis, long stallMillis) {}

    /**
     * Limits on retries, for all processes together. Immutable, safe for use by any thread.
     *
     * @param ratio allowed retries per request
     * @param reserve additional retries allowed within a window
     * @param windowMillis length of a window, in milliseconds
     */
    public record Retries(double ratio, double reserve, long windowMillis) {}

    /**
     * Preference of engines that hold the beginning of a prompt. Immutable, safe for use by any thread.
     *
     * @param enabled whether there is any
     * @param maxTrackedParts maximum number of beginnings of prompts that are tracked
     */
    public record PromptPrefixes(boolean enabled, int maxTrackedParts) {
        /** Off, as where the settings have no such section. */
        public static final PromptPrefixes OFF = new PromptPrefixes(false, 0);
    }

    /**
     * What the platform lets this process use of its VM. Immutable, safe for use by any thread.
     *
     * @param cpuShare share of the processor time of the cores that this process may use
     * @param cores number of cores
     * @param linkMbps rate of the network link, in megabits per second; empty if it is not limited
     * @param smallCores capacity in cores below which a gateway hands connections over to larger ones
     */
    public record Limits(double cpuShare, double cores, Optional<Double> linkMbps, double smallCores) {

        /** Processor time that this process may use, in cores. */
        public double capacityCores() {
            return cpuShare * cores;
        }
    }
}
