package org.cornelramp.core.operate;

/**
 * Says that a planned stop has begun. Immutable, safe for use by any thread.
 *
 * @param name name of the process
 * @param passedBy the entry that passed it on, or that stops itself
 */
public record DrainAnswer(String name, String passedBy) {}
