package org.cornelramp.core.route;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.DataCentre;

/**
 * Expected time of one request on given backend servers, in seconds inside this package.
 *
 * <p>A backend server whose speed is not known yet is taken to be as fast as the fastest known one: only work
 * shows its speed, and a ramp-up share, not a low guess, keeps a new one from a flood. Immutable, safe for use by
 * any thread.
 */
final class Estimator {
    private static final double FIRST_TOKENS_PER_SECOND = 1_000;
    private static final double FIRST_CALL_SECONDS = 0.005;
    private static final double MICROS = 1e6;

    private final Work work;
    private final DataCentre here;
    private final LinkCosts links;
    private final PrefixHints hints;
    private final Instant now;
    private final double fastestTokens;
    private final double fastestCall;

    Estimator(List<Candidate> candidates, Work work, DataCentre here, LinkCosts links, PrefixHints hints, Instant now) {
        this.work = work;
        this.here = here;
        this.links = links;
        this.hints = hints;
        this.now = now;
        double tokens = 0;
        double call = Double.MAX_VALUE;
        for (Candidate c : candidates) {
            if (!c.offer().service().equals(work.service())) {
                continue;
            }
            tokens = Math.max(tokens, c.load().tokensPerSecond());
            call = c.load().meanServiceMicros() > 0 ? Math.min(call, stepSeconds(c)) : call;
        }
        this.fastestTokens = tokens > 0 ? tokens : FIRST_TOKENS_PER_SECOND;
        this.fastestCall = call < Double.MAX_VALUE ? call : FIRST_CALL_SECONDS;
    }

    /** Time to the whole answer, with the work that is ahead of this one. */
    double expected(List<Candidate> chain) {
        return time(chain, true);
    }

    /** Time to the whole answer on idle backend servers: no waiting makes it shorter. */
    double unloaded(List<Candidate> chain) {
        return time(chain, false);
    }

    /** Cost by which candidates for one stage are compared: the shared time, and that of the steps and links. */
    double stageCost(Candidate c, DataCentre before) {
        if (!c.offer().isStage()) {
            return time(List.of(c), true);
        }
        return shareSeconds(c) + prompt(c) / speed(c) + work.maxTokens() * 2 * link(before, c.dataCentre());
    }

    /**
     * Attainable tokens a second of a candidate, cut to its share.
     *
     * <p>A speed measured with few requests is below what a full batch reaches, since each step gives every running
     * request a token. Without this an idle engine looks slow, and honest deadlines are refused. Steps grow with the
     * batch, so this is too high for an idle engine and comes true as it fills.
     */
    double speed(Candidate c) {
        AgentLoad load = c.load();
        double told = load.tokensPerSecond() > 0 ? load.tokensPerSecond() : fastestTokens;
        double full = load.meanServiceMicros() > 0 ? c.offer().slots() / stepSeconds(c) : 0;
        return Math.max(told, full) * c.share();
    }

    private double time(List<Candidate> chain, boolean loaded) {
        Candidate first = chain.get(0);
        Candidate last = chain.get(chain.size() - 1);
        double ends = link(here, first.dataCentre()) + link(last.dataCentre(), here);
        if (!first.offer().isStage()) {
            return ends + call(first, loaded);
        }
        double share = 0;
        double slowest = Double.MAX_VALUE;
        double cycle = link(last.dataCentre(), first.dataCentre());
        for (int i = 0; i < chain.size(); i++) {
            Candidate c = chain.get(i);
            share = Math.max(share, loaded ? shareSeconds(c) : 0);
            slowest = Math.min(slowest, speed(c));
            cycle += stepSeconds(c);
            cycle += i == 0 ? 0 : link(chain.get(i - 1).dataCentre(), c.dataCentre());
        }
        return ends + prompt(first) / slowest + Math.max(share, work.maxTokens() * Math.max(cycle, 1 / slowest));
    }

    /**
     * Time of all tokens at a stage that is shared with the sessions there. An engine that batches continuously
     * advances its sessions together, so none waits for another to end; beyond its slots they take turns. A speed in
     * positions a second is no measure for it, since it rises with each prompt that happens to be in the batch.
     */
    private double shareSeconds(Candidate c) {
        double queued = c.load().queuedTokens() / speed(c);
        return queued + work.maxTokens() * roundSeconds(c);
    }

    /** Time in which every session at a candidate is advanced by one token. */
    private double roundSeconds(Candidate c) {
        double turns = (requests(c) + 1) / Math.max(1, c.offer().slots());
        return iterationSeconds(c) * Math.max(1, turns) / c.share();
    }

    private double iterationSeconds(Candidate c) {
        if (c.load().meanServiceMicros() > 0) {
            return stepSeconds(c);
        }
        return c.load().tokensPerSecond() > 0 ? c.offer().slots() / c.load().tokensPerSecond() : fastestCall;
    }

    /** Requests at a candidate; between two steps a pipeline's request is neither running nor waiting there. */
    private static double requests(Candidate c) {
        double told = c.load().running() + c.load().waiting();
        return Math.max(told, c.sentCalls() * (double) Math.max(1, c.load().linkedEntries()));
    }

    private double call(Candidate c, boolean loaded) {
        double mean = c.load().meanServiceMicros() > 0 ? stepSeconds(c) : fastestCall;
        int slots = Math.max(1, c.offer().slots());
        double told = c.load().running() + c.load().waiting() + (double) c.sentTokens();
        double ahead = loaded ? Math.max(told, c.sentCalls()) : 0;
        return mean / c.share() * (1 + Math.max(0, ahead + 1 - slots) / slots);
    }

    private double prompt(Candidate c) {
        return work.promptTokens() * (1 - hints.spared(work.prefix(), c.incarnation(), now));
    }

    private double link(DataCentre from, DataCentre to) {
        return seconds(links.oneWay(from, to));
    }

    private static double stepSeconds(Candidate c) {
        return c.load().meanServiceMicros() / MICROS;
    }

    static double seconds(Duration d) {
        return d.toNanos() / 1e9;
    }

    static Duration duration(double seconds) {
        return Duration.ofNanos((long) Math.min(seconds * 1e9, Long.MAX_VALUE / 2.0));
    }
}
