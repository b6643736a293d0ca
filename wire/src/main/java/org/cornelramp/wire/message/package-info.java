/** The typed messages between the system's own processes. Everything here is immutable. */
package org.cornelramp.wire.message;
