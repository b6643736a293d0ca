/** Provides the clients of the platform's services to the other plug-ins. */
package org.cornelramp.daemon.platform;
