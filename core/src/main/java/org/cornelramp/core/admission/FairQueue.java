package org.cornelramp.core.admission;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.cornelramp.core.admission.Share.Entry;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;

/**
 * A bounded queue that gives organisations service in proportion to their weights, and orders the requests of one
 * organisation by priority and deadline.
 *
 * <p>Shares are kept by virtual time: an organisation's tag rises by cost / weight with each request that it
 * starts, and the lowest tag goes next. One that was idle starts at the present virtual time, so it neither saves
 * up service nor pays for what others used. What can no longer be done in its deadline is given up at once; nothing
 * that was given up is held. Every operation takes time logarithmic in the requests and organisations that wait.
 *
 * <p>Owned by one thread, which passes the present time in.
 */
public final class FairQueue<T> {
    private static final double LEAST_WAIT_SECONDS = 0.1;
    private static final double MOST_WAIT_SECONDS = 60;

    private final int capacity;
    private final RandomGenerator random;
    private final Map<Long, Entry<T>> byId = new HashMap<>();
    private final Map<OrganisationId, Share<T>> shares = new HashMap<>();
    private final TreeSet<Share<T>> due = new TreeSet<>(Share.byTag());
    private final TreeSet<Share<T>> crowded = new TreeSet<>(Share.byCrowding());
    private final TreeSet<Share<T>> resting = new TreeSet<>(Share.byTag());
    private final TreeSet<Entry<T>> byLatestStart = new TreeSet<>(Entry.byLatestStart());
    private final DrainRate drain = new DrainRate();
    private double virtualTime;
    private double dueWeight;
    private double waitingCost;
    private long sequence;

    /**
     * @param capacity most requests that wait
     * @param random spreads the times at which refused callers come back
     */
    public FairQueue(int capacity, RandomGenerator random) {
        this.capacity = capacity;
        this.random = random;
    }

    /**
     * Takes a request in, or refuses it at once if it cannot be answered in its deadline or there is no room.
     *
     * <p>A full queue takes a request of an organisation that holds fewer places for its weight than another, and
     * gives up the last request of that other one: otherwise the first organisation to send much would keep all
     * others out.
     *
     * @return the refusal, or the requests that were given up to make room, at most one
     */
    public Either<Problem, List<Refusal<T>>> offer(Waiting<T> waiting, Instant now) {
        if (byId.containsKey(waiting.id())) {
            throw new IllegalArgumentException("Each request waits under an id of its own; id=" + waiting.id());
        }
        if (waiting.latestStart().isBefore(now)) {
            return Either.left(unreachable(waiting, now));
        }
        double wait = expectedWait(waiting, now);
        double slack = seconds(Duration.between(now, waiting.latestStart()));
        if (wait > slack) {
            return Either.left(overloaded("about " + millis(wait) + " ms of work wait before it", wait - slack));
        }
        insert(new Entry<>(waiting, sequence++), now);
        if (byId.size() <= capacity) {
            return Either.right(List.of());
        }
        Entry<T> last = crowded.last().items.last();
        remove(last, now);
        Problem problem = overloaded("the queue holds " + capacity, backlogSeconds(now));
        if (last.waiting().id() == waiting.id()) {
            return Either.left(problem);
        }
        return Either.right(List.of(new Refusal<>(last.waiting(), problem)));
    }

    /** Takes out the next request to start; {@link #expire} comes first, so that none is started in vain. */
    public Optional<Waiting<T>> poll(Instant now) {
        if (due.isEmpty()) {
            return Optional.empty();
        }
        Share<T> next = due.first();
        Entry<T> first = next.items.first();
        virtualTime = Math.max(virtualTime, next.tag);
        drain.drained(first.waiting().cost(), now);
        remove(first, now);
        charge(next, first.waiting().cost());
        forgetRested();
        return Optional.of(first.waiting());
    }

    /** Takes out every request that can no longer be answered in its deadline. */
    public List<Refusal<T>> expire(Instant now) {
        List<Refusal<T>> expired = new ArrayList<>();
        while (!byLatestStart.isEmpty()
                && byLatestStart.first().waiting().latestStart().isBefore(now)) {
            Entry<T> e = byLatestStart.first();
            remove(e, now);
            expired.add(new Refusal<>(e.waiting(), overloaded("its deadline came too near", backlogSeconds(now))));
        }
        return expired;
    }

    /** Takes out a request that its caller gave up; empty if it does not wait. */
    public Optional<Waiting<T>> cancel(long id, Instant now) {
        Entry<T> e = byId.get(id);
        if (e == null) {
            return Optional.empty();
        }
        remove(e, now);
        return Optional.of(e.waiting());
    }

    /** Takes out everything, for a planned stop that hands waiting requests back. */
    public List<Waiting<T>> drainAll(Instant now) {
        List<Waiting<T>> all = new ArrayList<>();
        while (!byLatestStart.isEmpty()) {
            Entry<T> e = byLatestStart.first();
            remove(e, now);
            all.add(e.waiting());
        }
        return all;
    }

    /**
     * Corrects the charge for a request that has ended, so that an organisation is not made to pay for tokens that
     * it asked for and did not use.
     *
     * @param used what it really cost, in the unit of {@link Waiting#cost}
     */
    public void ended(Waiting<T> waiting, double used) {
        Share<T> share = shares.get(waiting.organisation());
        if (share != null) {
            charge(share, used - waiting.cost());
        }
    }

    /** Requests that wait. */
    public int size() {
        return byId.size();
    }

    /** Cost of all requests that wait. */
    public double cost() {
        return waitingCost;
    }

    /** When the next request has to be given up, if any waits. */
    public Optional<Instant> nextExpiry() {
        return byLatestStart.isEmpty()
                ? Optional.empty()
                : Optional.of(byLatestStart.first().waiting().latestStart());
    }

    /** Cost a second at which the queue drains; 0 while unknown. */
    public double drainPerSecond(Instant now) {
        return drain.perSecond(now);
    }

    private void insert(Entry<T> e, Instant now) {
        Waiting<T> w = e.waiting();
        Share<T> share = shares.computeIfAbsent(w.organisation(), o -> new Share<>(o, virtualTime));
        unlist(share);
        if (share.items.isEmpty()) {
            share.tag = Math.max(share.tag, virtualTime);
        }
        share.add(e);
        list(share);
        byId.put(w.id(), e);
        byLatestStart.add(e);
        waitingCost += w.cost();
        drain.backlogged(now);
    }

    private void remove(Entry<T> e, Instant now) {
        Share<T> share = shares.get(e.waiting().organisation());
        unlist(share);
        share.remove(e);
        list(share);
        byId.remove(e.waiting().id());
        byLatestStart.remove(e);
        waitingCost = byId.isEmpty() ? 0 : waitingCost - e.waiting().cost();
        if (byId.isEmpty()) {
            drain.idle(now);
        }
    }

    private void charge(Share<T> share, double cost) {
        unlist(share);
        share.tag += cost / share.weight;
        list(share);
    }

    /** Sorted sets find an element by its sort key, so a share leaves them before the key changes. */
    private void unlist(Share<T> share) {
        resting.remove(share);
        crowded.remove(share);
        if (due.remove(share)) {
            dueWeight -= share.weight;
        }
    }

    private void list(Share<T> share) {
        if (share.items.isEmpty()) {
            resting.add(share);
            return;
        }
        due.add(share);
        crowded.add(share);
        dueWeight += share.weight;
    }

    /**
     * An organisation that rests keeps its tag until virtual time has passed it. Forgotten earlier, one that always
     * has a single request waiting would start afresh each time and get more than its share.
     */
    private void forgetRested() {
        if (due.isEmpty() && !resting.isEmpty()) {
            virtualTime = Math.max(virtualTime, resting.last().tag);
        }
        while (!resting.isEmpty() && resting.first().tag <= virtualTime) {
            shares.remove(resting.pollFirst().organisation);
        }
    }

    /**
     * Seconds until a newcomer starts: the backlog of its organisation that goes before it, and what the others get
     * until virtual time reaches its tag, at most all that they have waiting.
     */
    private double expectedWait(Waiting<T> w, Instant now) {
        double rate = drain.perSecond(now);
        if (rate <= 0 || byId.isEmpty()) {
            return 0;
        }
        Share<T> share = shares.get(w.organisation());
        boolean waits = share != null && !share.items.isEmpty();
        double own = waits ? ahead(share, w) : 0;
        double tag = Math.max(virtualTime, share == null ? 0 : share.tag) + own / w.weight();
        double othersWeight = dueWeight - (waits ? share.weight : 0);
        double othersCost = waitingCost - (waits ? share.cost : 0);
        double others = Math.min(othersCost, (tag - virtualTime) * othersWeight);
        return (own + others) / rate;
    }

    /** Backlog of the organisation that goes before the newcomer, estimated from its place in their order. */
    private static <T> double ahead(Share<T> share, Waiting<T> w) {
        Entry<T> last = share.items.last();
        Entry<T> newcomer = new Entry<>(w, Long.MAX_VALUE);
        if (Entry.<T>order().compare(last, newcomer) <= 0) {
            return share.cost;
        }
        Entry<T> first = share.items.first();
        return Entry.<T>order().compare(first, newcomer) > 0 ? 0 : share.cost / 2;
    }

    private double backlogSeconds(Instant now) {
        double rate = drain.perSecond(now);
        return rate > 0 ? waitingCost / rate : LEAST_WAIT_SECONDS;
    }

    private static <T> Problem unreachable(Waiting<T> w, Instant now) {
        if (!w.deadline().isAfter(now)) {
            return Problem.notRun(
                    ProblemKind.DEADLINE_PASSED, "The deadline had passed before the request could start");
        }
        return Problem.notRun(
                ProblemKind.DEADLINE_UNREACHABLE,
                "The answer takes about " + w.runTime().toMillis() + " ms even without waiting");
    }

    /** Callers refused together and told the same time would come back together, so each is told another. */
    private Problem overloaded(String why, double seconds) {
        double least = Math.min(MOST_WAIT_SECONDS, Math.max(LEAST_WAIT_SECONDS, seconds));
        Duration wait = Duration.ofNanos((long) (least * (1 + random.nextDouble()) * 1e9));
        return Problem.notRun(ProblemKind.OVERLOADED, "The backend server is overloaded: " + why)
                .withRetryAfter(wait);
    }

    private static long millis(double seconds) {
        return (long) (seconds * 1_000);
    }

    private static double seconds(Duration d) {
        return d.toNanos() / 1e9;
    }
}
