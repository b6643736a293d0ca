package org.cornelramp.daemon.agent;

import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.Message;

/** What the agent's duty is told. Immutable, safe for use by any thread. */
sealed interface AgentEvent {
    /** A peer has said who it is. */
    record Opened(Link link) implements AgentEvent {}

    /** A message has come. */
    record Received(Link link, Message message) implements AgentEvent {}

    /** A link is gone. */
    record Closed(Link link, String why) implements AgentEvent {}

    /** A call to the backend server or the platform has ended; {@code then} handles its result. */
    record Completed(Runnable then) implements AgentEvent {}
}
