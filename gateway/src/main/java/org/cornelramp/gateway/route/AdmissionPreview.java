package org.cornelramp.gateway.route;

import java.util.Optional;
import org.cornelramp.core.admission.Fit;
import org.cornelramp.core.admission.Prospect;
import org.cornelramp.core.admission.WaitingRequest;

/**
 * What admission would decide on a stream. Immutable.
 *
 * @param waiting the stream as it would wait
 * @param contention what it competes with
 * @param target the server that it would be sent to; empty if none can take it
 * @param prospect what is predicted on that server's path; empty if the stream may start without a prediction
 * @param fit whether it fits
 * @param behindOthers whether requests wait that are at least as urgent, so that it may not start before them
 * @param waitingCount requests that wait in this gateway
 * @param expectedWaitMillis expected wait of its priority; 0 if it is not known
 * @param refusal how it would be refused at once; empty if it would start or wait
 */
record AdmissionPreview(
        WaitingRequest<ActiveRequest> waiting,
        AdmissionPace.Contention contention,
        Optional<Dispatcher.Target> target,
        Optional<Prospect> prospect,
        Fit fit,
        boolean behindOthers,
        int waitingCount,
        long expectedWaitMillis,
        Optional<RequestAdmission.Rejected> refusal) {

    /** Whether the stream would start at once. */
    boolean isAdmitted() {
        return !behindOthers && fit.admits();
    }
}
