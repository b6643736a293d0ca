package org.cornelramp.core.operate;

/**
 * Confirms that a planned stop has begun. Immutable, safe for use by any thread.
 *
 * @param name name of the process
 * @param passedBy the entry that forwarded the request, or that stops itself
 */
public record DrainAnswer(String name, String passedBy) {}
