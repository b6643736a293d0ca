package org.cornelramp.core.model;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** The text form of an incarnation parses back to an equal one. */
class IncarnationProperties {

    @Property(seed = "4821")
    boolean parsesItsTextForm(@ForAll long number) {
        Incarnation incarnation = new Incarnation(new BackendServerId("gpu-7.b_2"), number);
        return Incarnation.parse(incarnation.toString()).equals(incarnation);
    }
}
