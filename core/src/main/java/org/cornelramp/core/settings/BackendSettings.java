package org.cornelramp.core.settings;

/**
 * The backend server of an agent. Immutable, safe for use by any thread.
 *
 * @param kind kind of the backend server
 * @param url base URL of the backend server
 * @param checksTerms whether the backend server itself rejects orders with an older term
 */
public record BackendSettings(BackendKind kind, String url, boolean checksTerms) {}
