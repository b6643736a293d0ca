/** Used by the build only: loads the classes that a working gateway needs, so that the JVM can archive them. */
package org.cornelramp.gateway.archive;
