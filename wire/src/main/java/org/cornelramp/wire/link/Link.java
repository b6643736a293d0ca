package org.cornelramp.wire.link;

import java.util.Optional;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.wire.message.Hello;
import org.cornelramp.wire.message.Message;

/** One live link to a peer. Safe for use by any thread. A link never comes back: a new connection is a new link. */
public interface Link {
    /** What the peer said when the link opened. */
    Hello peer();

    /** The address that this side {@link LinkLoop#keep keeps} the link to; empty if the peer connected. */
    Optional<HostPort> kept();

    /** Queues a message; false when the link is closed or its bounded buffer is full, and then nothing is sent. */
    boolean send(Message message);

    /** Whether the link has not been closed yet. */
    boolean isOpen();

    /** Closes the link; the listener is told once. */
    void close(String why);
}
