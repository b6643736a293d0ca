package org.cornelramp.wire.message;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.Offer;

/**
 * Says that the sender lives; a link without one for three intervals is dead, whatever TCP says.
 * Immutable, safe for use by any thread.
 *
 * @param state whether the sender takes new work
 * @param load load of an agent; {@link AgentLoad#IDLE} from an entry
 * @param offer what the backend server offers now; empty from an entry
 * @param tableOffset offset of the table that the sender applies
 * @param term newest term that the sender knows, the fencing number of orders
 * @param setAside requests that the sender has set aside, each with its time to forget, at most a few dozen
 * @param crashed from an agent, reports of the newest crashes of its backend server with the requests in progress;
 *     from an entry, fingerprints of requests that were in progress at crashes, which an agent runs alone
 * @param demand requests a second that the sending entry wants to pass, for each row; empty from an agent
 * @param entryDemand demand told to this agent by each linked entry, summed for each row; empty from an entry
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
