package org.cornelramp.core.member;

import java.time.Instant;
import java.util.Optional;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Offer;

/**
 * The latest known state of one agent. Immutable, safe for use by any thread.
 *
 * @param incarnation its current incarnation
 * @param dataCentre where it runs
 * @param address where it accepts links
 * @param offer what its backend server offers; empty while unknown
 * @param state state that it reported
 * @param load load that it reported
 * @param linked whether a link to it is up
 * @param lastReceivedAt when its last message arrived
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
        Instant lastReceivedAt,
        boolean listedLeaving) {

    /** Whether new work may be sent to it. It counts as leaving once either the agent or the VM list says so. */
    public boolean takesWork() {
        return linked && offer.isPresent() && state.takesWork() && !listedLeaving;
    }

    Member withHeartbeat(Instant now, AgentState newState, AgentLoad newLoad, Optional<Offer> newOffer) {
        // Leaving is final for an incarnation, so a delayed heartbeat must not undo it.
        AgentState kept = state == AgentState.LEAVING ? state : newState;
        return new Member(incarnation, dataCentre, address, newOffer, kept, newLoad, linked, now, listedLeaving);
    }

    Member withLinked(boolean up) {
        return new Member(incarnation, dataCentre, address, offer, state, load, up, lastReceivedAt, listedLeaving);
    }

    Member withListedLeaving(boolean leaving) {
        return new Member(incarnation, dataCentre, address, offer, state, load, linked, lastReceivedAt, leaving);
    }
}
