package org.cornelramp.core.route;

import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Offer;

/**
 * What an entry knows of one backend server that may take work. Immutable, safe for use by any thread.
 *
 * @param incarnation the live agent
 * @param dataCentre where it is
 * @param offer what it runs
 * @param load what the agent last told
 * @param sentTokens tokens of work that this entry sent and the told load does not yet hold
 * @param sentCalls calls and sessions of this entry in progress there
 * @param share part of its full share of work that it is given now, above 0 to 1: lower while it ramps up or
 *     has been failing
 */
public record Candidate(
        Incarnation incarnation,
        DataCentre dataCentre,
        Offer offer,
        AgentLoad load,
        long sentTokens,
        int sentCalls,
        double share) {}
