package org.cornelramp.daemon.entry;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.Drain;
import org.cornelramp.wire.message.Heartbeat;

/**
 * The agents that this entry holds links to, with the table offset that each last told. Safe for use by any thread.
 */
public final class LinkedAgents {
    private final Map<Link, Long> offsets = new ConcurrentHashMap<>();

    void opened(Link link) {
        offsets.put(link, 0L);
    }

    /** A heartbeat behind the end of its link must not bring the link back. */
    void heard(Link link, Heartbeat beat) {
        offsets.computeIfPresent(link, (key, old) -> beat.tableOffset());
    }

    void closed(Link link) {
        offsets.remove(link);
    }

    /** The table offset that each linked agent last told, by its name. */
    Map<String, Long> tableOffsets() {
        Map<String, Long> byName = new TreeMap<>();
        offsets.forEach((link, offset) -> byName.merge(link.peer().process(), offset, Math::max));
        return byName;
    }

    /** Passes a drain on over every link to the named agent; false if there is none or it takes no message. */
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
