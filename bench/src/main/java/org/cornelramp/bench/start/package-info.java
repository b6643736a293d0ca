/** How much processor time a gateway needs from the start of its process to the first streams that it serves. */
package org.cornelramp.bench.start;
