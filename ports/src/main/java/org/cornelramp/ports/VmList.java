package org.cornelramp.ports;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.core.settings.Role;

/**
 * The VMs that the platform lists. Immutable, safe for use by any thread.
 *
 * @param at time at which the list was current, in milliseconds since 1970
 * @param vms the VMs
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record VmList(long at, List<Vm> vms) {

    /**
     * One VM.
     *
     * @param vm its name, the same as the name in the settings of its daemon
     * @param role role of its daemon
     * @param address address at which an agent accepts links, or an entry serves HTTP
     * @param dataCentre its data centre
     * @param state whether it is leaving
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Vm(String vm, Role role, HostPort address, DataCentre dataCentre, State state) {}

    /** State of a VM. */
    public enum State {
        /** In use. */
        @JsonProperty("live")
        LIVE,
        /** About to be removed. */
        @JsonProperty("leaving")
        LEAVING
    }
}
