package org.cornelramp.core.selection;

import java.time.Duration;
import org.cornelramp.core.model.DataCentre;

/** Expected one-way times between data centres. Implementations are immutable and safe for use by any thread. */
public interface LinkCosts {

    /** Expected one-way time of a small message. */
    Duration oneWay(DataCentre from, DataCentre to);
}
