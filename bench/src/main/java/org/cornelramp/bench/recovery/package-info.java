/** Measures the time from a fault until the rate of prompt answers is back near its value before the fault. */
package org.cornelramp.bench.recovery;
