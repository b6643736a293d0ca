/** Limits that hold over all entries together, without a store that they share. */
package org.cornelramp.core.limit;
