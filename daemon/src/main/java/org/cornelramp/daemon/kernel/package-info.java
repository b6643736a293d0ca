/** The life cycle of the daemon: plug-ins register their components, and the kernel starts, drains and stops them. */
package org.cornelramp.daemon.kernel;
