/**
 * Starts the system's separate processes and the stand-ins on loopback, for the demo, benchmarks and failure tests.
 * It is a test tool: no process of the product starts another.
 */
package org.cornelramp.bench.fleet;
