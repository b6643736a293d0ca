/** Measures the time from a fault until answers are as prompt as before. */
package org.cornelramp.bench.recovery;
