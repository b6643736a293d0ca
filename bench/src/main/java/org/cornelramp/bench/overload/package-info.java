/** Measures goodput and shares at several times the capacity. */
package org.cornelramp.bench.overload;
