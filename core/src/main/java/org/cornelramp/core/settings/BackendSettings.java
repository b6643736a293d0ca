package org.cornelramp.core.settings;

/**
 * The backend server beside an agent. Immutable, safe for use by any thread.
 *
 * @param kind what the backend server is
 * @param url base URL of the backend server
 * @param checksTerms whether the backend server itself refuses orders of an older term
 */
public record BackendSettings(BackendKind kind, String url, boolean checksTerms) {}
