/** What the benchmarks measure with: processor time, memory, meters, straight lines, result files and plots. */
package org.cornelramp.bench.measure;
