/** Long randomised runs: faults drawn from a seed against separate processes, with invariants checked. */
package org.cornelramp.bench.soak;
