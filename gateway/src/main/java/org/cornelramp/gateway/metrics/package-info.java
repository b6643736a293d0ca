/** Counters and latency histograms of a gateway. */
package org.cornelramp.gateway.metrics;
