/**
 * Starts the system's processes and the stand-ins on loopback, for the demo, benchmarks and failure tests. Used by test
 * tools only: no process of the product starts another.
 */
package org.cornelramp.bench.fleet;
