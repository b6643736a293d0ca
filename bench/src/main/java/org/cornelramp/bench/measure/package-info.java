/** Measurement tools of the benchmarks: processor time, memory, meters, linear fits, result files and plots. */
package org.cornelramp.bench.measure;
