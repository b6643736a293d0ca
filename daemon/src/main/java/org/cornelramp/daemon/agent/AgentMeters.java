package org.cornelramp.daemon.agent;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.ToDoubleFunction;
import org.cornelramp.core.model.AgentLoad;

/** Registers the agent's meters. Stateless. */
final class AgentMeters {
    private AgentMeters() {}

    static void register(MeterRegistry meters, AgentComponent agent) {
        gauge(meters, agent, "cornelramp.agent.running", AgentLoad::running);
        gauge(meters, agent, "cornelramp.agent.waiting", AgentLoad::waiting);
        gauge(meters, agent, "cornelramp.agent.queued.tokens", AgentLoad::queuedTokens);
        gauge(meters, agent, "cornelramp.agent.linked.entries", AgentLoad::linkedEntries);
    }

    private static void gauge(
            MeterRegistry meters, AgentComponent agent, String name, ToDoubleFunction<AgentLoad> value) {
        Gauge.builder(name, agent, a -> value.applyAsDouble(a.load())).register(meters);
    }
}
