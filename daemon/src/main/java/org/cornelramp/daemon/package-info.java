/** The process of the daemon: start, planned stop and exit codes. */
package org.cornelramp.daemon;
