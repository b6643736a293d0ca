package org.cornelramp.wire.link;

import org.cornelramp.wire.message.Message;

/** Receives the events of links. Called on the network thread, in order for each link; must not block. */
public interface LinkListener {

    /** The peer has sent its hello. */
    void opened(Link link);

    /** A message has arrived; heartbeats are reported too. */
    void received(Link link, Message message);

    /** The link has ended: it was closed, lost, or silent for too long. No message follows. */
    void closed(Link link, String why);
}
