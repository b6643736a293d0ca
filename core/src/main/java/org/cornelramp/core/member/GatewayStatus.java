package org.cornelramp.core.member;

/**
 * What a gateway tells its peers about its size and load. Immutable, safe for use by any thread.
 *
 * @param capacityCores processor time that it may use, in cores
 * @param load its load, see {@link GatewayLoad#value()}
 * @param ready whether it takes new connections and has not announced that it will stop doing so
 */
public record GatewayStatus(double capacityCores, double load, boolean ready) {}
