/**
 * Randomised runs of gateways as separate processes, with injected faults and checks of the guarantees of the product.
 */
package org.cornelramp.bench.gateway;
