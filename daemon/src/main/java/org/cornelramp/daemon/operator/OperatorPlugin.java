package org.cornelramp.daemon.operator;

import org.cornelramp.core.settings.Role;
import org.cornelramp.daemon.kernel.Plugin;
import org.cornelramp.daemon.kernel.Registry;

/** Serves operators at an entry, and shares the {@link AgentBoard} that connects it to the agents. Stateless. */
public final class OperatorPlugin implements Plugin {

    @Override
    public String name() {
        return "operator";
    }

    @Override
    public int order() {
        return 20;
    }

    @Override
    public boolean servesRole(Role role) {
        return role == Role.ENTRY;
    }

    @Override
    public void register(Registry registry) {
        registry.share(AgentBoard.class, new AgentBoard());
    }
}
