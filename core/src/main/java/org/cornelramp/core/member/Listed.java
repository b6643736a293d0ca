package org.cornelramp.core.member;

import org.cornelramp.core.model.BackendServerId;

/**
 * One agent's VM as the VM list shows it. Immutable, safe for use by any thread.
 *
 * @param server its name
 * @param address where its agent takes links, as host:port
 * @param leaving whether it is about to be taken away
 */
public record Listed(BackendServerId server, String address, boolean leaving) {}
