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

    /**
     * Weight of waiting over working time. The shortest time to one's own answer alone queues at the fastest engines
     * while slower ones stand idle, which costs those that come after; see the design note on choice.
     */
    private static final double WAIT_WEIGHT = 4;

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

    /** Cost by which candidates for one stage are compared: waiting, by its weight, and the work itself. */
    double stageCost(Candidate c, DataCentre before) {
        if (!c.offer().isStage()) {
            return time(List.of(c), true);
        }
        double perToken = Math.max(
                2 * link(before, c.dataCentre()) + stepSeconds(c), c.offer().slots() / speed(c));
        return WAIT_WEIGHT * wait(c) + prompt(c) / speed(c) + work.maxTokens() * perToken;
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
        double wait = 0;
        double slowest = Double.MAX_VALUE;
        double cycle = link(last.dataCentre(), first.dataCentre());
        for (int i = 0; i < chain.size(); i++) {
            Candidate c = chain.get(i);
            wait = Math.max(wait, loaded ? wait(c) : 0);
            slowest = Math.min(slowest, speed(c));
            cycle += stepSeconds(c);
            cycle += i == 0 ? 0 : link(chain.get(i - 1).dataCentre(), c.dataCentre());
        }
        return ends + wait + prompt(first) / slowest + work.maxTokens() * Math.max(cycle, 1 / slowest);
    }

    /** Time until a stage has a free slot: none while one is free, then that of the work of those before this one. */
    private double wait(Candidate c) {
        double requests = requests(c);
        double before = requests + 1 - c.offer().slots();
        if (before <= 0) {
            return 0;
        }
        double work = c.load().queuedTokens() + c.sentTokens();
        return work * before / requests / speed(c);
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
