package org.cornelramp.wire.link;

import java.util.Optional;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.wire.message.Hello;
import org.cornelramp.wire.message.Message;

/**
 * One connection to a peer. Safe for use by any thread. A closed link is not reopened: a new connection is a new link.
 */
public interface Link {
    /** The peer's hello message, received when the link opened. */
    Hello peer();

    /** The address that this process {@link LinkLoop#keepConnected connects} to; empty if the peer connected. */
    Optional<HostPort> dialledAddress();

    /**
     * Queues a message; false if the link is closed, its buffer is full or the message is too large, and nothing is
     * sent.
     */
    boolean send(Message message);

    /** Whether the link has not been closed yet. */
    boolean isOpen();

    /** Closes the link; the listener is notified once. */
    void close(String why);
}
