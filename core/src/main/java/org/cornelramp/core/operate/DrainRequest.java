package org.cornelramp.core.operate;

/**
 * Asks for the planned stop of one process. Immutable, safe for use by any thread.
 *
 * @param name name of the backend server or entry
 * @param by who asks, for the logs
 */
public record DrainRequest(String name, String by) {}
