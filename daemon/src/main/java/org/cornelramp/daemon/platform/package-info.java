/** Shares the clients of the platform's interfaces with the other plug-ins. */
package org.cornelramp.daemon.platform;
