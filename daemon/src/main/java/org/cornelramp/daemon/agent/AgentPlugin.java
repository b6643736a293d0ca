package org.cornelramp.daemon.agent;

import java.security.SecureRandom;
import java.util.Optional;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.settings.DaemonSettings;
import org.cornelramp.core.settings.Role;
import org.cornelramp.daemon.kernel.Plugin;
import org.cornelramp.daemon.kernel.Registry;
import org.cornelramp.daemon.table.TableSource;
import org.cornelramp.platform.EngineClient;
import org.cornelramp.platform.ServiceClient;

/** Registers the agent. Stateless. */
public final class AgentPlugin implements Plugin {
    private static final int ORDER = 100;

    @Override
    public String name() {
        return "agent";
    }

    @Override
    public int order() {
        return ORDER;
    }

    @Override
    public boolean servesRole(Role role) {
        return role == Role.AGENT;
    }

    @Override
    public void register(Registry registry) {
        DaemonSettings settings = registry.settings();
        Incarnation life = new Incarnation(new BackendServerId(settings.name()), new SecureRandom().nextLong());
        registry.share(Incarnation.class, life);
        registry.add(new AgentComponent(new AgentServices(
                settings,
                registry.clock(),
                life,
                registry.need(EngineClient.class),
                registry.need(ServiceClient.class),
                registry.need(TableSource.class),
                key -> Optional.of(registry.clock().instant()))));
    }
}
