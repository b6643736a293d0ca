package org.cornelramp.core.selection;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.DataCentre;

/**
 * Estimates how long one request takes on given backend servers. All times are in seconds.
 *
 * <p>A backend server of unknown speed counts as fast as the fastest known one: its speed shows only once it gets
 * work, and its ramp-up share, rather than a low estimate, protects it from overload. Immutable, safe for use by any
 * thread.
 */
final class CompletionTimeEstimator {
    private static final double DEFAULT_TOKENS_PER_SECOND = 1_000;
    private static final double DEFAULT_CALL_SECONDS = 0.005;
    private static final double MICROS_PER_SECOND = 1e6;

    /**
     * Weight of waiting time relative to processing time. Minimising the time of each request alone lets queues grow
     * at the fastest engines while slower ones are idle, which delays later requests; see the design note on choice.
     */
    private static final double WAIT_WEIGHT = 4;

    private final RoutingRequest request;
    private final DataCentre entryDataCentre;
    private final LinkCosts links;
    private final PrefixHints hints;
    private final Instant now;
    private final double fastestTokensPerSecond;
    private final double fastestCallSeconds;

    CompletionTimeEstimator(
            List<Candidate> candidates,
            RoutingRequest request,
            DataCentre entryDataCentre,
            LinkCosts links,
            PrefixHints hints,
            Instant now) {
        this.request = request;
        this.entryDataCentre = entryDataCentre;
        this.links = links;
        this.hints = hints;
        this.now = now;
        double fastestSeen = 0;
        double call = Double.MAX_VALUE;
        for (Candidate c : candidates) {
            if (!c.offer().service().equals(request.service())) {
                continue;
            }
            fastestSeen = Math.max(fastestSeen, c.load().tokensPerSecond());
            call = c.load().meanServiceMicros() > 0 ? Math.min(call, stepSeconds(c)) : call;
        }
        this.fastestTokensPerSecond = fastestSeen > 0 ? fastestSeen : DEFAULT_TOKENS_PER_SECOND;
        this.fastestCallSeconds = call < Double.MAX_VALUE ? call : DEFAULT_CALL_SECONDS;
    }

    /** Time to the complete answer, including the wait behind queued work. */
    double expectedSeconds(List<Candidate> chain) {
        return chainSeconds(chain, true);
    }

    /** Time to the complete answer on idle backend servers, which is the lower bound at any load. */
    double unloadedSeconds(List<Candidate> chain) {
        return chainSeconds(chain, false);
    }

    /** Cost that ranks the candidates for one stage: the weighted waiting time plus the processing time. */
    double stageCost(Candidate c, DataCentre before) {
        if (!c.offer().isStage()) {
            return chainSeconds(List.of(c), true);
        }
        double perToken = Math.max(
                2 * linkSeconds(before, c.dataCentre()) + stepSeconds(c),
                c.offer().slots() / attainableTokensPerSecond(c));
        return WAIT_WEIGHT * waitSeconds(c)
                + uncachedPromptTokens(c) / attainableTokensPerSecond(c)
                + request.maxTokens() * perToken;
    }

    /**
     * Tokens per second that a candidate can reach with a full batch, scaled by its share.
     *
     * <p>A speed measured with few requests is below that of a full batch, since each step generates one token for
     * every running request. With the measured speed alone an idle engine would look slow, and requests with
     * achievable deadlines would be refused. Steps take longer as the batch grows, so the estimate is too high for an
     * idle engine and becomes accurate as the engine fills.
     */
    double attainableTokensPerSecond(Candidate c) {
        AgentLoad load = c.load();
        double reported = load.tokensPerSecond() > 0 ? load.tokensPerSecond() : fastestTokensPerSecond;
        double fullBatch = load.meanServiceMicros() > 0 ? c.offer().slots() / stepSeconds(c) : 0;
        return Math.max(reported, fullBatch) * c.share();
    }

    private double chainSeconds(List<Candidate> chain, boolean includeWaiting) {
        Candidate first = chain.get(0);
        Candidate last = chain.get(chain.size() - 1);
        double edgeSeconds =
                linkSeconds(entryDataCentre, first.dataCentre()) + linkSeconds(last.dataCentre(), entryDataCentre);
        if (!first.offer().isStage()) {
            return edgeSeconds + callSeconds(first, includeWaiting);
        }
        double wait = 0;
        double slowest = Double.MAX_VALUE;
        double cycle = linkSeconds(last.dataCentre(), first.dataCentre());
        for (int i = 0; i < chain.size(); i++) {
            Candidate c = chain.get(i);
            wait = Math.max(wait, includeWaiting ? waitSeconds(c) : 0);
            slowest = Math.min(slowest, attainableTokensPerSecond(c));
            cycle += stepSeconds(c);
            cycle += i == 0 ? 0 : linkSeconds(chain.get(i - 1).dataCentre(), c.dataCentre());
        }
        return edgeSeconds
                + wait
                + uncachedPromptTokens(first) / slowest
                + request.maxTokens() * Math.max(cycle, 1 / slowest);
    }

    /** Time until a stage has a free slot: 0 while one is free, otherwise the time of the work ahead in its queue. */
    private double waitSeconds(Candidate c) {
        double requests = requestCount(c);
        double before = requests + 1 - c.offer().slots();
        if (before <= 0) {
            return 0;
        }
        double queuedTokens = c.load().queuedTokens() + c.unreportedTokens();
        return queuedTokens * before / requests / attainableTokensPerSecond(c);
    }

    /**
     * Requests at a candidate. Between two steps a request of a pipeline is neither running nor waiting at a stage, so
     * the count is at least the calls of this entry times the number of linked entries.
     */
    private static double requestCount(Candidate c) {
        double reported = c.load().running() + c.load().waiting();
        return Math.max(
                reported, c.outstandingCalls() * (double) Math.max(1, c.load().linkedEntries()));
    }

    private double callSeconds(Candidate c, boolean includeWaiting) {
        double mean = c.load().meanServiceMicros() > 0 ? stepSeconds(c) : fastestCallSeconds;
        int slots = Math.max(1, c.offer().slots());
        double reported = c.load().running() + c.load().waiting() + (double) c.unreportedTokens();
        double ahead = includeWaiting ? Math.max(reported, c.outstandingCalls()) : 0;
        return mean / c.share() * (1 + Math.max(0, ahead + 1 - slots) / slots);
    }

    private double uncachedPromptTokens(Candidate c) {
        return request.promptTokens() * (1 - hints.expectedCachedShare(request.prefixHash(), c.incarnation(), now));
    }

    private double linkSeconds(DataCentre from, DataCentre to) {
        return toSeconds(links.oneWay(from, to));
    }

    private static double stepSeconds(Candidate c) {
        return c.load().meanServiceMicros() / MICROS_PER_SECOND;
    }

    static double toSeconds(Duration d) {
        return d.toNanos() / 1e9;
    }

    static Duration toDuration(double seconds) {
        return Duration.ofNanos((long) Math.min(seconds * 1e9, Long.MAX_VALUE / 2.0));
    }
}
