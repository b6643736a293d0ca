/** Measures throughput against the bound from the engines' speeds, for each policy of choosing backend servers. */
package org.cornelramp.bench.throughput;
