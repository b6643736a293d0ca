package org.cornelramp.core.operate;

/**
 * Request for the planned stop of one process. Immutable, safe for use by any thread.
 *
 * @param name name of the backend server or entry
 * @param by the operator, for the logs
 */
public record DrainRequest(String name, String by) {}
