package org.cornelramp.core.routing;

/**
 * A kind of accelerator card. Immutable, safe for use by any thread.
 *
 * @param name name under which backend servers report the kind
 * @param memoryMb memory for weights and for running requests, in megabytes
 * @param stepFactor duration of a token step relative to the base card
 * @param prefillFactor duration of the prefill of a prompt relative to the base card
 */
public record CardKind(String name, double memoryMb, double stepFactor, double prefillFactor) {}
