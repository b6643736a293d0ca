/** Which orders an agent passes to its backend server. */
package org.cornelramp.core.fence;
