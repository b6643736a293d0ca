package org.cornelramp.bench.gateway;

/**
 * What a randomised run of gateways does. Immutable, safe for use by any thread.
 *
 * @param seed from which the faults and requests are drawn
 * @param seconds length of the load, in seconds
 * @param gateways number of gateways
 * @param notices whether servers limit their rate, ask for rest and announce that they leave, instead of failing
 * @param resumeHeavy whether nearly all requests are streams, one connection in three is read slowly, and most faults end
 *     all gateways or break streams
 * @param poison requests and parts of prompts that crash servers
 */
public record SoakSettings(
        long seed, int seconds, int gateways, boolean notices, boolean resumeHeavy, PoisonSettings poison) {

    /**
     * Requests and parts of prompts that crash servers. Immutable, safe for use by any thread.
     *
     * @param requests number of requests that crash each server which runs them, and come again and again
     * @param parts number of parts of prompts that crash each engine which begins to write on them
     * @param failureShare share of the runs of these that the server ends with a failure of its own instead
     * @param portsHeld whether the port of a server that has crashed is held, and each connection with a request is
     *     closed without an answer
     */
    public record PoisonSettings(int requests, int parts, double failureShare, boolean portsHeld) {
        static final PoisonSettings NONE = new PoisonSettings(0, 0, 0, false);
    }

    /** A run with the usual faults only. */
    public static SoakSettings of(long seed, int seconds, int gateways) {
        return new SoakSettings(seed, seconds, gateways, false, false, PoisonSettings.NONE);
    }

    /** A copy in which servers say what they take. */
    public SoakSettings withNotices(boolean enabled) {
        return new SoakSettings(seed, seconds, gateways, enabled, resumeHeavy, poison);
    }

    /** A copy in which clients resume streams all the time. */
    public SoakSettings withResumeHeavy(boolean enabled) {
        return new SoakSettings(seed, seconds, gateways, notices, enabled, poison);
    }

    /** A copy with requests and parts that crash servers. */
    public SoakSettings withPoison(int requests, int parts) {
        PoisonSettings counts = new PoisonSettings(requests, parts, poison.failureShare(), poison.portsHeld());
        return new SoakSettings(seed, seconds, gateways, notices, resumeHeavy, counts);
    }

    /** A copy in which servers also fail some runs of what crashes them, and may leave their ports held. */
    public SoakSettings withPoisonFailures(double share, boolean portsHeld) {
        PoisonSettings failures = new PoisonSettings(poison.requests(), poison.parts(), share, portsHeld);
        return new SoakSettings(seed, seconds, gateways, notices, resumeHeavy, failures);
    }
}
