package org.cornelramp.gateway.route;

import java.util.Optional;
import org.cornelramp.core.admission.AdmissionPolicy;
import org.cornelramp.core.admission.Fit;
import org.cornelramp.core.admission.Prospect;
import org.cornelramp.core.admission.Standing;

/**
 * What the decision whether a stream may start now is made from. Immutable.
 *
 * @param moreUrgentPerSecond more urgent requests that arrive at all gateways, per second
 * @param standing how the recent shares of its priority and organisation affect the decision
 * @param target the server that it would be sent to; empty if none can take it
 * @param prospect what is predicted on that server's path; empty if the stream may start without a prediction
 */
record AdmissionOutlook(
        double moreUrgentPerSecond,
        Standing standing,
        Optional<Dispatcher.Target> target,
        Optional<Prospect> prospect) {

    /** Whether the stream fits; may change the policy if there is a prediction. */
    Fit judge(AdmissionPolicy policy) {
        if (target.isEmpty()) {
            return Fit.NO_CAPACITY;
        }
        return prospect.map(policy::judge).orElse(Fit.ON_TIME);
    }
}
