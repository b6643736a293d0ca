package org.cornelramp.core.selection;

import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Offer;

/**
 * A backend server that accepts new work, as one entry sees it. Immutable, safe for use by any thread.
 *
 * @param incarnation the live agent
 * @param dataCentre data centre of the backend server
 * @param offer what the backend server runs
 * @param load load that the agent last reported
 * @param unreportedTokens tokens of work that this entry sent and that the reported load does not include yet
 * @param outstandingCalls calls and sessions of this entry in progress there
 * @param share fraction of its full share of work that it receives now, above 0 and up to 1: lower while it ramps up
 *     or after it has been failing
 */
public record Candidate(
        Incarnation incarnation,
        DataCentre dataCentre,
        Offer offer,
        AgentLoad load,
        long unreportedTokens,
        int outstandingCalls,
        double share) {}
