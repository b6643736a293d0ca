/** The entry role: callers' requests, their routing to agents, and the answers. */
package org.cornelramp.daemon.entry;
