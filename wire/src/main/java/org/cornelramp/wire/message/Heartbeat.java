package org.cornelramp.wire.message;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.Offer;

/**
 * States that the sender is alive; a link without a frame for three intervals is dead, even if TCP reports it as open.
 * Immutable, safe for use by any thread.
 *
 * @param state whether the sender accepts new work
 * @param load load of an agent; {@link AgentLoad#IDLE} from an entry
 * @param offer what the backend server offers now; empty from an entry
 * @param tableOffset offset of the sender's table
 * @param term newest term that the sender knows, the fencing token of orders
 * @param setAside requests that the sender has set aside, each with its expiry time, at most a few dozen
 * @param crashed from an agent, reports of the newest crashes of its backend server with the requests in progress;
 *     from an entry, fingerprints of requests that were in progress at crashes; an agent runs each of them alone
 * @param demand requests a second that the sending entry wants to admit, for each row; empty from an agent
 * @param entryDemand demand reported to this agent by its linked entries, summed for each row; empty from an entry
 */
public record Heartbeat(
        AgentState state,
        AgentLoad load,
        Optional<Offer> offer,
        long tableOffset,
        long term,
        List<String> setAside,
        List<String> crashed,
        Map<String, Double> demand,
        Map<String, Double> entryDemand)
        implements Message {}
