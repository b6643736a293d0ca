/** Framed TCP links between the system's own processes, with heartbeats that detect dead connections. */
package org.cornelramp.wire.link;
