package org.cornelramp.bench.scale;

/**
 * The resource usage of one process over a time window. Immutable, safe for use by any thread.
 *
 * @param cpuPercent processor time, in percent of one core
 * @param residentBytes resident memory at the end of the window, in bytes
 * @param messagesPerSecond frames on its links in both directions
 * @param bytesPerSecond bytes on its links in both directions
 */
record Cost(double cpuPercent, double residentBytes, double messagesPerSecond, double bytesPerSecond) {}
