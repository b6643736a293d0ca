/** The agent: the small process that runs next to one backend server. */
package org.cornelramp.daemon.agent;
