/** Randomised runs of gateways as separate processes, with faults from outside and the promises checked. */
package org.cornelramp.bench.gateway;
