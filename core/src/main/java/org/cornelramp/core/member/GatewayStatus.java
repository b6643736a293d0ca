package org.cornelramp.core.member;

/**
 * Capacity and load of one gateway, as it reports them to its peers. Immutable, safe for use by any thread.
 *
 * @param capacityCores capacity in cores
 * @param load share of the capacity that is in use, 0 and up
 * @param ready whether the gateway takes new connections
 */
public record GatewayStatus(double capacityCores, double load, boolean ready) {}
