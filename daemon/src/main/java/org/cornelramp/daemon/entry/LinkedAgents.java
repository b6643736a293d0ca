package org.cornelramp.daemon.entry;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.Drain;
import org.cornelramp.wire.message.Heartbeat;

/**
 * The agents that this entry has links to, with the table offset that each last reported. Safe for use by any thread.
 */
public final class LinkedAgents {
    private final Map<Link, Long> offsets = new ConcurrentHashMap<>();

    void linkOpened(Link link) {
        offsets.put(link, 0L);
    }

    /**
     * Records the table offset. A heartbeat that is processed after its link was closed must not add the link again.
     */
    void heartbeatReceived(Link link, Heartbeat heartbeat) {
        offsets.computeIfPresent(link, (key, old) -> heartbeat.tableOffset());
    }

    void linkClosed(Link link) {
        offsets.remove(link);
    }

    /** Returns the table offset that each linked agent last reported, by agent name. */
    Map<String, Long> tableOffsets() {
        Map<String, Long> byName = new TreeMap<>();
        offsets.forEach((link, offset) -> byName.merge(link.peer().process(), offset, Math::max));
        return byName;
    }

    /**
     * Sends a drain request over every link to the named agent. Returns false if there is no link or none accepts the
     * message.
     */
    boolean drain(String agent, String by) {
        boolean sent = false;
        for (Link link : offsets.keySet()) {
            if (link.peer().process().equals(agent)) {
                sent |= link.send(new Drain(by));
            }
        }
        return sent;
    }
}
