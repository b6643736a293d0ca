package org.cornelramp.daemon.agent;

import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.Message;

/** An event for the agent's event loop. Immutable, safe for use by any thread. */
sealed interface AgentEvent {
    /** A link was opened and its peer has sent its hello. */
    record LinkOpened(Link link) implements AgentEvent {}

    /** A message was received. */
    record MessageReceived(Link link, Message message) implements AgentEvent {}

    /** A link was closed. */
    record LinkClosed(Link link, String why) implements AgentEvent {}

    /** Runs an action on the event loop thread, such as handling the result of an asynchronous call. */
    record Task(Runnable action) implements AgentEvent {}
}
