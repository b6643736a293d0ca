package org.cornelramp.core.model;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** An incarnation reads back from its text form, whatever its server is called. */
class IncarnationProperties {

    @Property(seed = "4821")
    boolean readsBackWhatItWrote(@ForAll long life) {
        Incarnation incarnation = new Incarnation(new BackendServerId("gpu-7.b_2"), life);
        return Incarnation.parse(incarnation.toString()).equals(incarnation);
    }
}
