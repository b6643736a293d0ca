package org.cornelramp.core.settings;

import java.util.Optional;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.selection.ChoicePolicy;

/**
 * All settings of one daemon. Immutable, safe for use by any thread.
 *
 * @param role role of the daemon
 * @param name name of the entry, or of the agent's backend server
 * @param dataCentre data centre that the process runs in
 * @param http address on which HTTP is served: callers and operators at an entry; health and metrics at both
 * @param links address on which an agent accepts links; absent at an entry
 * @param platform addresses of the platform's interfaces
 * @param backend the backend server of an agent; absent at an entry
 * @param operators who may use the operators' interface; it is disabled where this is absent
 * @param timing intervals and timeouts
 * @param bounds maximum sizes of bodies, headers, ring buffers and records
 * @param log format of the log
 * @param choice how an entry chooses backend servers; the baselines are for comparison in measurements
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

    /** Settings with the default choice policy and without the operators' interface. */
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
