/** Limits that hold over all entries together, without a shared store. */
package org.cornelramp.core.limit;
