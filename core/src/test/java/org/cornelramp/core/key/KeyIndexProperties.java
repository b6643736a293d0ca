package org.cornelramp.core.key;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cornelramp.core.call.AgentReply;
import org.cornelramp.core.call.CallResult;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.Outcome;

/** Every reader sees the same first binding, and a settlement counts only once all its parts have been read. */
class KeyIndexProperties {
    private static final OrganisationId ORGANISATION = new OrganisationId("org-1");
    private static final Duration WINDOW = Duration.ofHours(1);

    @Property(seed = "111", tries = 1_000)
    boolean theFirstBindingInTheLogWins(@ForAll long seed) {
        Random random = new Random(seed);
        List<Optional<KeyRecord>> log = new ArrayList<>();
        Map<String, Incarnation> first = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            String key = "k" + random.nextInt(12);
            Incarnation agent = new Incarnation(new BackendServerId("s" + random.nextInt(4)), random.nextInt(3));
            boolean malformed = random.nextInt(8) == 0;
            log.add(malformed ? Optional.empty() : Optional.of(new KeyRecord.Bind(key, ORGANISATION, agent, "f" + i)));
            if (!malformed) {
                first.putIfAbsent(key, agent);
            }
        }
        KeyIndex index = new KeyIndex(WINDOW);
        for (int i = 0; i < log.size(); i++) {
            index.apply(i, Instant.ofEpochMilli(i), log.get(i));
            if (random.nextInt(10) == 0) {
                index.expire(Instant.ofEpochMilli(i));
            }
        }
        return first.entrySet().stream().allMatch(entry -> index.binding(ORGANISATION, entry.getKey())
                .orElseThrow()
                .incarnation()
                .equals(entry.getValue()));
    }

    @Property(seed = "112", tries = 1_000)
    boolean aSettlementCountsOnlyOnceItIsComplete(@ForAll long seed) {
        Random random = new Random(seed);
        int parts = 1 + random.nextInt(4);
        Incarnation agent = new Incarnation(new BackendServerId("s"), 1);
        KeyIndex index = new KeyIndex(WINDOW);
        Set<Integer> partsRead = new HashSet<>();
        for (int offset = 0; offset < 12; offset++) {
            int part = random.nextInt(parts);
            partsRead.add(part);
            Map<String, AgentReply> results =
                    Map.of("k" + part, AgentReply.of(new CallResult(200, "", new byte[] {(byte) part})));
            index.apply(
                    offset,
                    Instant.ofEpochMilli(offset),
                    Optional.of(new KeyRecord.Settled(agent, part, parts, results)));
            boolean complete = partsRead.size() == parts;
            if (index.isSettled(agent) != complete
                    || index.settledReply(agent, "k0").isPresent() != complete) {
                return false;
            }
        }
        return !index.isSettled(agent) || isCorrect(index, agent, parts);
    }

    private static boolean isCorrect(KeyIndex index, Incarnation agent, int parts) {
        boolean listed = true;
        for (int part = 0; part < parts; part++) {
            listed &=
                    index.settledReply(agent, "k" + part).orElseThrow().result().isPresent();
        }
        AgentReply unlisted = index.settledReply(agent, "other").orElseThrow();
        return listed && unlisted.problem().orElseThrow().outcome() == Outcome.NOT_RUN;
    }

    @Property(seed = "113", tries = 500)
    boolean aBindingSurvivesARoundTrip(@ForAll long incarnationNumber, @ForAll long low) {
        KeyRecord.Bind bind = new KeyRecord.Bind(
                new UUID(0x7000L, low).toString(),
                ORGANISATION,
                new Incarnation(new BackendServerId("s-1.b"), incarnationNumber),
                "f");
        return KeyRecordCodec.read(KeyRecordCodec.write(bind)).orElseThrow().equals(bind);
    }
}
