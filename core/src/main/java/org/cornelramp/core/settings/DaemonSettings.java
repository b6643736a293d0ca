package org.cornelramp.core.settings;

import java.util.Optional;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.route.ChoicePolicy;

/**
 * All settings of one daemon. Immutable, safe for use by any thread.
 *
 * @param role what the daemon does
 * @param name name of the entry, or of the backend server that the agent stands beside
 * @param dataCentre data centre that the process runs in
 * @param http where HTTP is served: callers and operators at an entry; health and metrics at both
 * @param links where an agent takes links; absent at an entry
 * @param platform where the platform's interfaces are
 * @param backend the backend server beside an agent; absent at an entry
 * @param operators who may use the operators' interface; it is closed where this is absent
 * @param timing intervals and timeouts
 * @param bounds sizes of bodies, headers, rings and records
 * @param log form of the log
 * @param choice how an entry chooses backend servers; the baselines are there to be measured against
 */
public record DaemonSettings(
        Role role,
        String name,
        DataCentre dataCentre,
        HostPort http,
        Optional<HostPort> links,
        PlatformSettings platform,
        Optional<BackendSettings> backend,
        Optional<OperatorSettings> operators,
        TimingSettings timing,
        BoundSettings bounds,
        LogSettings log,
        ChoicePolicy choice) {

    /** Settings with the usual choice, whose operators' interface is closed. */
    public DaemonSettings(
            Role role,
            String name,
            DataCentre dataCentre,
            HostPort http,
            Optional<HostPort> links,
            PlatformSettings platform,
            Optional<BackendSettings> backend,
            TimingSettings timing,
            BoundSettings bounds,
            LogSettings log) {
        this(
                role,
                name,
                dataCentre,
                http,
                links,
                platform,
                backend,
                Optional.empty(),
                timing,
                bounds,
                log,
                ChoicePolicy.EXPECTED_COMPLETION);
    }
}
