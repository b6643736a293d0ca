package org.cornelramp.daemon.agent;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.ToDoubleFunction;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.wire.link.LinkCounters;

/** Registers the agent's meters. Stateless. */
final class AgentMeters {
    private AgentMeters() {}

    static void register(MeterRegistry meters, AgentComponent agent) {
        gauge(meters, agent, "cornelramp.agent.running", AgentLoad::running);
        gauge(meters, agent, "cornelramp.agent.waiting", AgentLoad::waiting);
        gauge(meters, agent, "cornelramp.agent.queued.tokens", AgentLoad::queuedTokens);
        gauge(meters, agent, "cornelramp.agent.linked.entries", AgentLoad::linkedEntries);
        LinkCounters links = agent.linkCounters();
        counter(meters, links, "cornelramp.links.opened", LinkCounters::opened);
        counter(meters, links, "cornelramp.links.silent", LinkCounters::silent);
        counter(meters, links, "cornelramp.links.garbage", LinkCounters::garbage);
        counter(meters, links, "cornelramp.links.skipped", LinkCounters::skipped);
        counter(meters, links, "cornelramp.links.refused.sends", LinkCounters::refusedSends);
        counter(meters, links, "cornelramp.links.frames.in", LinkCounters::framesIn);
        counter(meters, links, "cornelramp.links.frames.out", LinkCounters::framesOut);
        counter(meters, links, "cornelramp.links.bytes.in", LinkCounters::bytesIn);
        counter(meters, links, "cornelramp.links.bytes.out", LinkCounters::bytesOut);
    }

    private static void gauge(
            MeterRegistry meters, AgentComponent agent, String name, ToDoubleFunction<AgentLoad> value) {
        Gauge.builder(name, agent, a -> value.applyAsDouble(a.load())).register(meters);
    }

    private static void counter(
            MeterRegistry meters, LinkCounters links, String name, ToDoubleFunction<LinkCounters> value) {
        FunctionCounter.builder(name, links, value).register(meters);
    }
}
