package org.cornelramp.core.member;

import org.cornelramp.core.model.BackendServerId;

/**
 * An agent's VM as shown in the VM list. Immutable, safe for use by any thread.
 *
 * @param server name of the VM's backend server
 * @param address where its agent accepts links, as host:port
 * @param leaving whether the VM is about to be removed
 */
public record ListedAgent(BackendServerId server, String address, boolean leaving) {}
