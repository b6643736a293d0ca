package org.cornelramp.core.member;

import java.time.Instant;
import java.util.Optional;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Offer;

/**
 * One agent as this entry last heard of it. Immutable, safe for use by any thread.
 *
 * @param incarnation its present life
 * @param dataCentre where it is
 * @param address where it takes links
 * @param offer what its backend server offers; empty while unknown
 * @param state what it said of itself
 * @param load what it told
 * @param linked whether a live link to it is up
 * @param heardAt when it was last heard
 * @param listedLeaving whether the VM list shows it as leaving
 */
public record Member(
        Incarnation incarnation,
        DataCentre dataCentre,
        String address,
        Optional<Offer> offer,
        AgentState state,
        AgentLoad load,
        boolean linked,
        Instant heardAt,
        boolean listedLeaving) {

    /** Whether new work may go there. Leaving counts from whichever sign of it comes first. */
    public boolean takesWork() {
        return linked && offer.isPresent() && state.takesWork() && !listedLeaving;
    }

    Member heard(Instant now, AgentState newState, AgentLoad newLoad, Optional<Offer> newOffer) {
        // An agent that said it is leaving never comes back in the same life: a late frame must not undo it.
        AgentState kept = state == AgentState.LEAVING ? state : newState;
        return new Member(incarnation, dataCentre, address, newOffer, kept, newLoad, linked, now, listedLeaving);
    }

    Member withLinked(boolean up) {
        return new Member(incarnation, dataCentre, address, offer, state, load, up, heardAt, listedLeaving);
    }

    Member withListedLeaving(boolean leaving) {
        return new Member(incarnation, dataCentre, address, offer, state, load, linked, heardAt, leaving);
    }
}
