/** Frames: a length, a version, a message type and a MessagePack map. */
package org.cornelramp.wire.codec;
