/** An open-loop load generator: callers that check every answer and record how each request ended. */
package org.cornelramp.bench.load;
