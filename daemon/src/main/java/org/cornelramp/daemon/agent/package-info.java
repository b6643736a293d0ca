/** The agent: the small process beside one backend server. */
package org.cornelramp.daemon.agent;
