/** The form of the daemon's own log lines. */
package org.cornelramp.daemon.log;
