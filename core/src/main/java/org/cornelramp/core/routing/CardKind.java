package org.cornelramp.core.routing;

/**
 * A kind of accelerator card. Immutable, safe for use by any thread.
 *
 * @param name name by which backend servers tell their kind
 * @param memoryMb memory for weights and for the requests that run, in megabytes
 * @param stepFactor how many times longer than the model's base figure a token step takes
 * @param readFactor how many times longer than the model's base figure reading a prompt takes
 */
public record CardKind(String name, double memoryMb, double stepFactor, double readFactor) {}
