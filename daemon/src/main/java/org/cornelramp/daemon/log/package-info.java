/** Configuration and formatters of the daemon's log. */
package org.cornelramp.daemon.log;
