/** Long randomised runs: faults drawn from a seed against separate processes, and checks of invariants. */
package org.cornelramp.bench.soak;
