/** Framed TCP links between the system's own processes, with heartbeats that find silent connections. */
package org.cornelramp.wire.link;
