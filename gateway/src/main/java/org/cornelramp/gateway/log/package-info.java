/** Structured log lines on standard output, bounded in volume and without blocking the callers. */
package org.cornelramp.gateway.log;
