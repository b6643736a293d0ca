package org.cornelramp.core.poison;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one process tells its peers about crashes and the requests that caused them. Immutable, safe for use by any
 * thread.
 *
 * <p>All times are ages or spans, as processes share no clock.
 *
 * @param crashes crashes that the sender has seen itself
 * @param refusals time for which the sender still refuses a request, in milliseconds, by its fingerprint
 * @param clearances time since a request was cleared of the crashes before, in milliseconds, by its fingerprint
 * @param signsOfLife time since a server that had been reported as crashed gave a sign of life, in milliseconds, by the
 *     id of the crash
 */
public record PoisonUpdate(
        List<ToldCrash> crashes,
        Map<String, Long> refusals,
        Map<String, Long> clearances,
        Map<String, Long> signsOfLife) {
    /** An update that tells nothing. */
    public static final PoisonUpdate NONE = new PoisonUpdate(List.of(), Map.of(), Map.of(), Map.of());

    public PoisonUpdate {
        crashes = List.copyOf(crashes);
        refusals = Map.copyOf(refusals);
        clearances = Map.copyOf(clearances);
        signsOfLife = Map.copyOf(signsOfLife);
    }

    /**
     * A crash of a server. Immutable, safe for use by any thread.
     *
     * @param crashId id of the crash, the same at all processes that report it
     * @param ageMillis time since the crash, in milliseconds
     * @param suspects fingerprints of the requests that may have caused it
     */
    public record ToldCrash(String crashId, long ageMillis, Set<String> suspects) {
        public ToldCrash {
            suspects = Set.copyOf(suspects);
        }
    }

    /** Whether it tells nothing. */
    public boolean isEmpty() {
        return equals(NONE);
    }

    /**
     * What the sender has observed itself, without the times. Refusals follow from it, or from what peers observe. Parts of
     * prompts that are cleared are left out: at each crash many processes clear the same ones.
     */
    public Set<Object> observations() {
        Set<Object> facts = new HashSet<>();
        crashes.forEach(crash -> facts.add(Map.entry(crash.crashId(), crash.suspects())));
        clearances.keySet().stream()
                .filter(suspect -> !PromptParts.isPart(suspect))
                .forEach(request -> facts.add(List.of("cleared", request)));
        signsOfLife.keySet().forEach(crash -> facts.add(List.of("alive", crash)));
        return facts;
    }
}
