package org.cornelramp.core.path;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.routing.CardKind;
import org.cornelramp.core.routing.EngineSpec;

/**
 * Chooses between the best path by load and paths whose engines hold the beginning of the prompt already. Stateless, safe
 * for use by any thread.
 *
 * <p>Invariant: the expected time to the first event on the chosen path is at most {@value #MAX_FIRST_EVENT_FACTOR} times
 * that on the path by load, by the same figures, and the path by load is kept where no engine holds a beginning.
 */
public final class PrefixAffinity {
    /** Bound on the expected time to the first event, relative to the path by load. */
    public static final double MAX_FIRST_EVENT_FACTOR = 1.05;

    /** Bound on the token time, relative to the path by load, for which admission has predicted the pauses. */
    private static final double MAX_TOKEN_TIME_FACTOR = 1.1;

    /** Tokens of an answer whose delay counts as much as the delay of its first event; an estimate. */
    private static final double COUNTED_TOKENS = 20;

    /** Requests of mean length for each copy whose memory stays free: only the path by load uses the last memory. */
    private static final double MEMORY_RESERVE = 4;

    /**
     * Requests that the engines of a path may have more than those of the path by load before its saving counts for
     * nothing, and the share of that path's load that is added. Otherwise a part that most requests share would gather
     * them at its first holder.
     */
    private static final double MAX_MORE_REQUESTS = 4;

    private static final double MAX_MORE_SHARE = 0.25;

    /**
     * Share of a saving that counts: the request that holds the beginning may have ended since its gateway reported it.
     * The daemon's hints count a new entry with the same share.
     */
    private static final double CERTAIN_SHARE = 0.8;

    /** Maximum number of searches for a request; each costs as much as a search by load. */
    private static final int MAX_SEARCHES = 2;

    private PrefixAffinity() {}

    /**
     * What a choice is made from, beside the path by load.
     *
     * @param engines the engines that accept work
     */
    public record Inputs(
            EngineSpec spec,
            List<BackendServer> engines,
            EngineLoads loads,
            PathFinder.Demand demand,
            PromptPrefix prefix,
            PromptHolders holders) {
        public Inputs {
            engines = List.copyOf(engines);
        }
    }

    /**
     * A path with what its engines need not read. Immutable, safe for use by any thread.
     *
     * @param savedTokens leading tokens of the prompt that all of its engines hold
     * @param savedMillis time to read them over all hops
     * @param firstEventMillis expected time to the first event, with the saving
     */
    public record Choice(StagePath path, int savedTokens, double savedMillis, double firstEventMillis) {}

    /** Returns the path by load, or a better one whose engines hold the beginning of the prompt. */
    public static Choice choose(StagePath byLoad, Inputs inputs) {
        Choice plain = assess(byLoad, inputs);
        int kept = inputs.holders().heldLevels(inputs.prefix(), byLoad);
        int[] held = inputs.engines().stream()
                .mapToInt(engine -> inputs.holders().heldLevels(inputs.prefix(), engine.id()))
                .toArray();
        Choice best = plain;
        int level = inputs.prefix().levels() + 1;
        for (int search = 0; search < MAX_SEARCHES; search++) {
            level = highestBelow(level, held);
            Optional<Choice> candidate = level <= kept ? Optional.empty() : search(level, held, inputs);
            if (candidate.isPresent()
                    && isAllowed(candidate.get(), plain)
                    && cost(candidate.get(), plain, inputs) < cost(best, plain, inputs)) {
                best = candidate.get();
            }
        }
        return best;
    }

    private static int highestBelow(int bound, int[] held) {
        int highest = 0;
        for (int level : held) {
            highest = level < bound ? Math.max(highest, level) : highest;
        }
        return highest;
    }

    private static Optional<Choice> search(int level, int[] held, Inputs inputs) {
        List<BackendServer> engines = new ArrayList<>();
        for (int i = 0; i < held.length; i++) {
            if (held[i] >= level) {
                engines.add(inputs.engines().get(i));
            }
        }
        PathFinder.Demand demand = inputs.demand();
        PathFinder.Demand reserving = demand.withReservedRequests(Math.max(MEMORY_RESERVE, demand.reservedRequests()));
        return PathFinder.find(inputs.spec(), engines, inputs.loads(), reserving)
                .map(path -> assess(path, inputs));
    }

    private static boolean isAllowed(Choice candidate, Choice plain) {
        return candidate.firstEventMillis() <= MAX_FIRST_EVENT_FACTOR * plain.firstEventMillis()
                && candidate.path().tokenMillis()
                        <= MAX_TOKEN_TIME_FACTOR * plain.path().tokenMillis();
    }

    /** Expected time to the first event with the part of the saving that the load allows, and the delay of the answer. */
    private static double cost(Choice choice, Choice plain, Inputs inputs) {
        double least = meanRequests(plain.path(), inputs);
        double more = Math.max(0, meanRequests(choice.path(), inputs) - least);
        double allowed = MAX_MORE_REQUESTS + MAX_MORE_SHARE * least;
        double countedShare = CERTAIN_SHARE * Math.max(0, 1 - more / allowed);
        double uncounted = choice.path().equals(plain.path()) ? 0 : (1 - countedShare) * choice.savedMillis();
        return choice.firstEventMillis()
                + uncounted
                + COUNTED_TOKENS * choice.path().tokenMillis();
    }

    private static double meanRequests(StagePath path, Inputs inputs) {
        double sum = 0;
        for (Hop hop : path.hops()) {
            sum += hop.layers() * inputs.loads().load(hop.server().id()).requests();
        }
        return sum / inputs.spec().layers();
    }

    private static Choice assess(StagePath path, Inputs inputs) {
        int prompt = inputs.demand().promptTokens();
        PromptPrefix prefix = inputs.prefix();
        int saved = Math.min(prompt, prefix.tokens(inputs.holders().heldLevels(prefix, path)));
        double savedMillis = 0;
        double firstEventMillis = path.tokenMillis();
        for (Hop hop : path.hops()) {
            double millis = tokenReadMillis(hop, inputs.spec());
            int pending = inputs.loads().load(hop.server().id()).pendingPromptTokens();
            savedMillis += saved * millis;
            firstEventMillis += (pending + prompt - saved)
                    * millis
                    * inputs.loads().slowdown(hop.server().id());
        }
        return new Choice(path, saved, savedMillis, firstEventMillis);
    }

    /** Time to read one token of a prompt at a hop, by its card and layers, as in {@link StagePath#readMillis}. */
    private static double tokenReadMillis(Hop hop, EngineSpec spec) {
        double factor =
                spec.card(hop.server().card()).map(CardKind::prefillFactor).orElse(1.0);
        return factor / spec.prefillTokensPerMilli() * hop.layers() / spec.layers();
    }
}
