package org.cornelramp.standins.service;

/**
 * What a plain service is like. Immutable, safe for use by any thread.
 *
 * @param name the service
 * @param version its version
 * @param millis time of one call, in milliseconds
 * @param slots calls run side by side
 */
public record ServiceOptions(String name, String version, long millis, int slots) {}
