/** Measures throughput against what the engines' speeds allow, beside the baselines of the choice. */
package org.cornelramp.bench.throughput;
