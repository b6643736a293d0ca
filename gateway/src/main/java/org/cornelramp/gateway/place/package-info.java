/** Leader election, and the assignment of model layers to engines by the leader. */
package org.cornelramp.gateway.place;
