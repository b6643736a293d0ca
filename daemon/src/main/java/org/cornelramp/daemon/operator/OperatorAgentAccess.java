package org.cornelramp.daemon.operator;

import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Supplier;

/**
 * Gives the operators' interface access to the agents that are linked to this entry. The plug-in that owns the links
 * calls {@link #connect} while it registers; until then no agent is known. Safe for use by any thread.
 */
public final class OperatorAgentAccess {
    private volatile Supplier<Map<String, Long>> offsets = Map::of;
    private volatile BiPredicate<String, String> drain = (agent, by) -> false;

    /**
     * Sets the source of table offsets and the function that sends drains.
     *
     * @param tableOffsets returns the table offset that each linked agent last reported, by agent name; must not block
     * @param drainAgent sends a {@link org.cornelramp.wire.message.Drain} to the named agent on behalf of the named
     *     operator; returns false if no agent of that name is linked
     */
    public void connect(Supplier<Map<String, Long>> tableOffsets, BiPredicate<String, String> drainAgent) {
        this.offsets = tableOffsets;
        this.drain = drainAgent;
    }

    /** Returns the table offset that each linked agent last reported, by agent name. */
    Map<String, Long> tableOffsets() {
        return offsets.get();
    }

    /** Sends a drain to an agent; returns false if no agent of that name is linked. */
    boolean drain(String agent, String by) {
        return drain.test(agent, by);
    }
}
