package org.cornelramp.standins.service;

/**
 * Properties of a plain service. Immutable, safe for use by any thread.
 *
 * @param name name of the service
 * @param version its version
 * @param callMillis duration of one call, in milliseconds
 * @param slots number of calls that run concurrently
 */
public record ServiceOptions(String name, String version, long callMillis, int slots) {}
