package org.cornelramp.core.model;

/**
 * The load that an agent reports in each heartbeat, from its own counts, as the report of its engine lags.
 *
 * @param running requests that the backend server is working on
 * @param waiting requests admitted and not started
 * @param queuedTokens tokens of work admitted and not done
 * @param tokensPerSecond measured speed of the backend server over its recent work; 0 while unknown
 * @param meanServiceMicros mean time of one call or step, in microseconds; 0 while unknown
 * @param linkedEntries entries that hold a live link to this agent
 */
public record AgentLoad(
        int running,
        int waiting,
        long queuedTokens,
        double tokensPerSecond,
        long meanServiceMicros,
        int linkedEntries) {

    /** The load of an agent that has not worked yet. */
    public static final AgentLoad IDLE = new AgentLoad(0, 0, 0, 0, 0, 0);
}
