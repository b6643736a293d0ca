package org.cornelramp.wire.message;

import java.util.Optional;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Offer;

/**
 * Opens a link: the first message of each end, which identifies the sender. Immutable, safe for use by any thread.
 *
 * @param process name of the sending process
 * @param entry whether the sender is an entry; otherwise it is an agent
 * @param incarnation incarnation of the sending agent; for an entry, a random one under its own name
 * @param dataCentre data centre of the sender
 * @param offer what the backend server offers; empty from an entry, or while the backend server has not answered
 * @param address address at which the sender accepts links, as host:port; empty if it accepts none
 */
public record Hello(
        String process,
        boolean entry,
        Incarnation incarnation,
        DataCentre dataCentre,
        Optional<Offer> offer,
        String address)
        implements Message {}
