package org.cornelramp.wire.link;

import org.cornelramp.wire.message.Message;

/** Told what happens on links. Called on the network thread in order for each link; must not block. */
public interface LinkListener {

    /** The peer has said who it is. */
    void opened(Link link);

    /** A message has come; heartbeats are passed on too. */
    void received(Link link, Message message);

    /** The link is gone: closed, broken, or silent for too long. No message follows. */
    void closed(Link link, String why);
}
