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

    /** Cost by which candidates for one stage are compared: the time that each keeps its share of the work. */
    double stageCost(Candidate c, DataCentre before) {
        if (!c.offer().isStage()) {
            return time(List.of(c), true);
        }
        double perToken = 2 * link(before, c.dataCentre()) + stepSeconds(c);
        return Math.max(shared(c, true), work.maxTokens() * perToken);
    }

    /** Attainable tokens a second of a candidate, cut to its share. */
    double speed(Candidate c) {
        AgentLoad load = c.load();
        double told = load.tokensPerSecond() > 0 ? load.tokensPerSecond() : fastestTokens;
        // A speed measured with few requests is below what a full batch reaches: each step gives every running
        // request a token. Without this an idle engine looks slow, and honest deadlines are refused.
        double batch = Math.min(c.offer().slots(), load.running() + 1);
        double batched = load.meanServiceMicros() > 0 ? batch / stepSeconds(c) : 0;
        return Math.max(told, batched) * c.share();
    }

    private double time(List<Candidate> chain, boolean loaded) {
        Candidate first = chain.get(0);
        Candidate last = chain.get(chain.size() - 1);
        double ends = link(here, first.dataCentre()) + link(last.dataCentre(), here);
        if (!first.offer().isStage()) {
            return ends + call(first, loaded);
        }
        double shared = 0;
        double slowest = Double.MAX_VALUE;
        double cycle = link(last.dataCentre(), first.dataCentre());
        for (int i = 0; i < chain.size(); i++) {
            Candidate c = chain.get(i);
            shared = Math.max(shared, shared(c, loaded));
            slowest = Math.min(slowest, speed(c));
            cycle += stepSeconds(c);
            cycle += i == 0 ? 0 : link(chain.get(i - 1).dataCentre(), c.dataCentre());
        }
        double alone = prompt(first) / slowest + work.maxTokens() * Math.max(cycle, 1 / slowest);
        return ends + Math.max(shared, alone);
    }

    /** Time until a stage has done this request's tokens and those that it does before or beside them. */
    private double shared(Candidate c, boolean loaded) {
        double mine = prompt(c) + work.maxTokens();
        return ((loaded ? ahead(c, mine) : 0) + mine) / speed(c);
    }

    /** Running requests share the batch, so none of them takes more than this one needs before it ends. */
    private static double ahead(Candidate c, double mine) {
        AgentLoad load = c.load();
        int count = load.running() + load.waiting();
        double runningPart = count == 0 ? 1 : load.running() / (double) count;
        double running = Math.min(load.queuedTokens() * runningPart, load.running() * mine);
        return running + load.queuedTokens() * (1 - runningPart) + c.sentTokens();
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
