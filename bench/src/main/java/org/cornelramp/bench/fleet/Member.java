package org.cornelramp.bench.fleet;

import java.util.Optional;

/**
 * One daemon of a fleet with its backend server and relay, if any.
 *
 * <p>Safe for use by any thread, as its processes are.
 *
 * @param name name in the settings and the VM list
 * @param entry whether it is an entry; otherwise an agent
 * @param httpPort port of its HTTP server
 * @param linkPort port at which entries reach an agent, that of the relay if there is one; 0 for an entry
 * @param dataCentre its data centre
 * @param daemon the daemon's process
 * @param backend the process of an agent's backend server; empty for an entry
 * @param backendPort port of the backend server; 0 for an entry
 * @param relay the relay that the agent's links pass through
 */
public record Member(
        String name,
        boolean entry,
        int httpPort,
        int linkPort,
        String dataCentre,
        ManagedProcess daemon,
        Optional<ManagedProcess> backend,
        int backendPort,
        Optional<Relay> relay) {

    /** Base URL of the daemon's HTTP server. */
    public String url() {
        return "http://127.0.0.1:" + httpPort;
    }

    /** Base URL of the backend server. */
    public String backendUrl() {
        return "http://127.0.0.1:" + backendPort;
    }
}
