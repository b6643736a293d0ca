package org.cornelramp.daemon.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.OpenStage;
import org.cornelramp.wire.message.SendFrom;
import org.cornelramp.wire.message.StageOpened;
import org.cornelramp.wire.message.Step;
import org.cornelramp.wire.message.Token;

/** One session over several agents, driven by the test in place of an entry. */
final class TestPipeline {
    private static final long SESSION = 77;

    private final TestEntry entry;
    private final long[] prompt;
    private final int maxTokens;
    private final TreeMap<Integer, Integer> tokens = new TreeMap<>();
    private final Map<TestAgent, HostPort> addressOverrides = new HashMap<>();
    private List<TestAgent> currentAgents = List.of();
    private int epoch;

    TestPipeline(TestEntry entry, long[] prompt, int maxTokens) {
        this.entry = entry;
        this.prompt = prompt;
        this.maxTokens = maxTokens;
    }

    /** Opens all stages under the next epoch and starts or resumes the session; each may bring a KV cache. */
    void start(List<TestAgent> agents, List<Optional<byte[]>> kvs) throws InterruptedException {
        epoch++;
        currentAgents = List.copyOf(agents);
        List<String> addresses = new ArrayList<>();
        List<Incarnation> incarnations = new ArrayList<>();
        agents.forEach(agent -> addresses.add(
                addressOverrides.getOrDefault(agent, agent.address()).toString()));
        agents.forEach(agent -> incarnations.add(agent.incarnation));
        int[] positions = new int[agents.size()];
        for (int i = 0; i < agents.size(); i++) {
            link(agents.get(i)).send(open(i, addresses, incarnations, kvs.get(i)));
            int index = i;
            positions[i] = entry.next(StageOpened.class, o -> o.epoch() == epoch && o.stage() == index)
                    .position();
        }
        for (int i = 0; i < agents.size(); i++) {
            int from = i + 1 < agents.size() ? positions[i + 1] : prompt.length - 1 + tokens.size();
            link(agents.get(i)).send(new SendFrom(SESSION, epoch, from));
        }
        link(agents.get(0)).send(new Step(SESSION, epoch, positions[0], inputsFrom(positions[0])));
    }

    void start(List<TestAgent> agents) throws InterruptedException {
        List<Optional<byte[]>> kvs = new ArrayList<>();
        agents.forEach(agent -> kvs.add(Optional.empty()));
        start(agents, kvs);
    }

    private OpenStage open(int stage, List<String> addresses, List<Incarnation> incarnations, Optional<byte[]> kv) {
        return new OpenStage(
                SESSION,
                epoch,
                "request",
                new OrganisationId("ward"),
                new ServiceName("model"),
                stage,
                addresses,
                incarnations,
                prompt.length,
                maxTokens,
                0,
                60_000,
                "fingerprint",
                kv);
    }

    /** Makes the previous stage connect to an agent at another address, such as that of a proxy. */
    void overrideAddress(TestAgent agent, HostPort address) {
        addressOverrides.put(agent, address);
    }

    /** Replaces the agent of one stage, under a new epoch. */
    void replace(int stage, TestAgent spare, Optional<byte[]> kv) throws InterruptedException {
        List<TestAgent> agents = new ArrayList<>(currentAgents);
        agents.set(stage, spare);
        List<Optional<byte[]>> kvs = new ArrayList<>();
        agents.forEach(agent -> kvs.add(agent == spare ? kv : Optional.empty()));
        start(agents, kvs);
    }

    private Link link(TestAgent agent) throws InterruptedException {
        return entry.link(agent);
    }

    private long[] inputsFrom(int position) {
        int end = prompt.length + tokens.size();
        long[] inputs = new long[Math.max(0, end - position)];
        for (int i = 0; i < inputs.length; i++) {
            int at = position + i;
            inputs[i] = at < prompt.length ? prompt[at] : tokens.get(at - prompt.length);
        }
        return inputs;
    }

    /** Collects tokens until this many have been received in total. */
    void collect(int count) throws InterruptedException {
        while (tokens.size() < count) {
            Token token = entry.next(Token.class, t -> t.epoch() == epoch);
            for (int i = 0; i < token.tokens().length; i++) {
                tokens.put(token.position() - (prompt.length - 1) + i, token.tokens()[i]);
            }
        }
    }

    List<Integer> tokens() {
        return List.copyOf(tokens.values());
    }

    long session() {
        return SESSION;
    }

    int epoch() {
        return epoch;
    }

    /** The tokens that one engine with all layers generates without failures. */
    static List<Integer> expectedTokens(long[] prompt, int maxTokens, int layers) {
        FakeEngine engine = new FakeEngine(0, layers, layers);
        List<Integer> tokens = new ArrayList<>();
        long[] inputs = prompt;
        int position = 0;
        while (tokens.size() < maxTokens) {
            long[] outputs = engine.steps(List.of(new org.cornelramp.ports.EngineStep("s", position, inputs, 0, 1)))
                    .join()
                    .results()
                    .get(0)
                    .outputs()
                    .orElseThrow();
            position += inputs.length;
            inputs = new long[] {outputs[outputs.length - 1]};
            tokens.add((int) inputs[0]);
        }
        return tokens;
    }
}
