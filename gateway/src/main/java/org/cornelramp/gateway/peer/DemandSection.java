package org.cornelramp.gateway.peer;

import java.util.Optional;
import org.cornelramp.core.admission.DemandReport;
import org.cornelramp.core.member.GatewayStatus;

/**
 * The optional section at the end of an update. Immutable, safe for use by any thread.
 *
 * @param report the demand at the sender; empty if it builds no report
 * @param status capacity and load of the sender; empty if it does not measure them
 */
public record DemandSection(Optional<DemandReport> report, Optional<GatewayStatus> status) {
    /** The section of a gateway that uses none of the functions that need it; it takes no bytes. */
    public static final DemandSection NONE = new DemandSection(Optional.empty(), Optional.empty());

    boolean isEmpty() {
        return report.isEmpty() && status.isEmpty();
    }
}
