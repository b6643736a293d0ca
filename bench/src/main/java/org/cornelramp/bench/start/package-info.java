/** Measures the processor time of a gateway from the start of its process to the first streams that it serves. */
package org.cornelramp.bench.start;
