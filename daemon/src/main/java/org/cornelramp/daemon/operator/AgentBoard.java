package org.cornelramp.daemon.operator;

import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Supplier;

/**
 * What the operators' interface needs of the agents that this entry holds links to. The part that keeps the links
 * connects it while it registers; until then there are none. Safe for use by any thread.
 */
public final class AgentBoard {
    private volatile Supplier<Map<String, Long>> offsets = Map::of;
    private volatile BiPredicate<String, String> drain = (agent, by) -> false;

    /**
     * Connects the agents.
     *
     * @param tableOffsets gives the table offset that each linked agent last told, by agent name; must not block
     * @param drainAgent sends a {@link org.cornelramp.wire.message.Drain} to the named agent in the name
     *     of an operator; false if none of that name is linked
     */
    public void connect(Supplier<Map<String, Long>> tableOffsets, BiPredicate<String, String> drainAgent) {
        this.offsets = tableOffsets;
        this.drain = drainAgent;
    }

    /** The table offset that each linked agent last told. */
    Map<String, Long> tableOffsets() {
        return offsets.get();
    }

    /** Passes a drain on to an agent; false if none of that name is linked. */
    boolean drain(String agent, String by) {
        return drain.test(agent, by);
    }
}
