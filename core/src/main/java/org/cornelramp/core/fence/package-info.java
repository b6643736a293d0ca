/** Fencing: which orders an agent forwards to its backend server. */
package org.cornelramp.core.fence;
