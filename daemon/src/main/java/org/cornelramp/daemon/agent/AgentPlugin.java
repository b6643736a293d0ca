package org.cornelramp.daemon.agent;

import java.security.SecureRandom;
import org.cornelramp.core.key.IdempotencyKey;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.settings.BackendKind;
import org.cornelramp.core.settings.DaemonSettings;
import org.cornelramp.core.settings.Role;
import org.cornelramp.daemon.http.Readiness;
import org.cornelramp.daemon.kernel.Plugin;
import org.cornelramp.daemon.kernel.Registry;
import org.cornelramp.daemon.kernel.StopSwitch;
import org.cornelramp.daemon.report.LinkMeters;
import org.cornelramp.daemon.report.StatusSections;
import org.cornelramp.daemon.table.TableSource;
import org.cornelramp.ports.EngineClient;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.ServiceClient;

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
        Incarnation incarnation = new Incarnation(new BackendServerId(settings.name()), new SecureRandom().nextLong());
        registry.share(Incarnation.class, incarnation);
        boolean isEngine = settings.backend().orElseThrow().kind() == BackendKind.ENGINE;
        AgentComponent agent = new AgentComponent(new AgentServices(
                settings,
                registry.clock(),
                incarnation,
                isEngine ? registry.require(EngineClient.class) : new RefusingEngineClient(),
                isEngine ? new RefusingServiceClient() : registry.require(ServiceClient.class),
                registry.require(TableSource.class),
                registry.require(LogClient.class),
                registry.require(StopSwitch.class),
                IdempotencyKey::madeAt));
        registry.add(agent);
        registry.require(StatusSections.class).add("agent", agent::status);
        registry.require(Readiness.class).add("agent", agent::notReadyReason);
        AgentMeters.register(registry.meters(), agent);
        new LinkMeters(agent.linkCounters()).bindTo(registry.meters());
    }
}
