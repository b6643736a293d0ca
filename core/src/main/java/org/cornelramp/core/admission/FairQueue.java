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
import org.cornelramp.core.admission.OrganisationShare.Entry;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;

/**
 * A bounded weighted fair queue: organisations get service in proportion to their weights, and the requests of one
 * organisation are ordered by priority and deadline.
 *
 * <p>Scheduling uses virtual time. The tag of an organisation rises by cost / weight with each request that it
 * starts, and the organisation with the lowest tag is served next. One that was idle starts at the current virtual
 * time, so it neither accumulates credit nor is charged for service that others received. A request that can no
 * longer meet its deadline is removed at once and not kept. Every operation takes time logarithmic in the number of
 * queued requests and organisations.
 *
 * <p>Owned by one thread, which passes the current time in.
 */
public final class FairQueue<T> {
    private static final double MIN_RETRY_SECONDS = 0.1;
    private static final double MAX_RETRY_SECONDS = 60;

    private final int capacity;
    private final RandomGenerator random;
    private final Map<Long, Entry<T>> byId = new HashMap<>();
    private final Map<OrganisationId, OrganisationShare<T>> shares = new HashMap<>();
    private final TreeSet<OrganisationShare<T>> backlogged = new TreeSet<>(OrganisationShare.byTag());
    private final TreeSet<OrganisationShare<T>> byOccupancy = new TreeSet<>(OrganisationShare.byOccupancy());
    private final TreeSet<OrganisationShare<T>> idle = new TreeSet<>(OrganisationShare.byTag());
    private final TreeSet<Entry<T>> byLatestStart = new TreeSet<>(Entry.byLatestStart());
    private final DrainRate drainRate = new DrainRate();
    private double virtualTime;
    private double backloggedWeight;
    private double queuedCost;
    private long sequence;

    /**
     * @param capacity maximum number of queued requests
     * @param random adds jitter to the retry-after times of refused requests
     */
    public FairQueue(int capacity, RandomGenerator random) {
        this.capacity = capacity;
        this.random = random;
    }

    /**
     * Enqueues a request, or refuses it at once if it cannot meet its deadline or the queue has no room.
     *
     * <p>A full queue drops the last request of the organisation that holds the most places for its weight; if that is
     * the new request itself, it is refused. Otherwise an organisation that filled the queue first would keep all others
     * out.
     *
     * @return the refusal, or the requests that were evicted to make room, at most one
     */
    public Either<Problem, List<Refusal<T>>> offer(QueuedRequest<T> request, Instant now) {
        if (byId.containsKey(request.id())) {
            throw new IllegalArgumentException("Request ids must be unique in the queue; id=" + request.id());
        }
        if (request.latestStart().isBefore(now)) {
            return Either.left(deadlineRefusal(request, now));
        }
        double wait = expectedWait(request, now);
        double slack = seconds(Duration.between(now, request.latestStart()));
        if (wait > slack) {
            return Either.left(
                    overloadRefusal("about " + millis(wait) + " ms of work are queued ahead of it", wait - slack));
        }
        insert(new Entry<>(request, sequence++), now);
        if (byId.size() <= capacity) {
            return Either.right(List.of());
        }
        Entry<T> last = byOccupancy.last().entries.last();
        remove(last, now);
        Problem problem = overloadRefusal("the queue holds " + capacity, backlogSeconds(now));
        if (last.request().id() == request.id()) {
            return Either.left(problem);
        }
        return Either.right(List.of(new Refusal<>(last.request(), problem)));
    }

    /** Removes the next request to start. Call {@link #expire} first, so that no request starts past its deadline. */
    public Optional<QueuedRequest<T>> poll(Instant now) {
        if (backlogged.isEmpty()) {
            return Optional.empty();
        }
        OrganisationShare<T> next = backlogged.first();
        Entry<T> first = next.entries.first();
        virtualTime = Math.max(virtualTime, next.tag);
        drainRate.recordDequeue(first.request().cost(), now);
        remove(first, now);
        charge(next, first.request().cost());
        removeIdleShares();
        return Optional.of(first.request());
    }

    /** Removes every request that can no longer meet its deadline. */
    public List<Refusal<T>> expire(Instant now) {
        List<Refusal<T>> expired = new ArrayList<>();
        while (!byLatestStart.isEmpty()
                && byLatestStart.first().request().latestStart().isBefore(now)) {
            Entry<T> e = byLatestStart.first();
            remove(e, now);
            expired.add(new Refusal<>(
                    e.request(),
                    overloadRefusal("the request could not start in time for its deadline", backlogSeconds(now))));
        }
        return expired;
    }

    /** Removes a request that its caller cancelled; empty if it is not queued. */
    public Optional<QueuedRequest<T>> cancel(long id, Instant now) {
        Entry<T> e = byId.get(id);
        if (e == null) {
            return Optional.empty();
        }
        remove(e, now);
        return Optional.of(e.request());
    }

    /** Removes all requests, for a planned stop that hands queued requests back. */
    public List<QueuedRequest<T>> drainAll(Instant now) {
        List<QueuedRequest<T>> all = new ArrayList<>();
        while (!byLatestStart.isEmpty()) {
            Entry<T> e = byLatestStart.first();
            remove(e, now);
            all.add(e.request());
        }
        return all;
    }

    /**
     * Corrects the charge for a request that has ended, so that an organisation is not charged for tokens that it
     * requested and did not use.
     *
     * @param used actual cost, in the unit of {@link QueuedRequest#cost}
     */
    public void correctCharge(QueuedRequest<T> request, double used) {
        OrganisationShare<T> share = shares.get(request.organisation());
        if (share != null) {
            charge(share, used - request.cost());
        }
    }

    /** Number of queued requests. */
    public int size() {
        return byId.size();
    }

    /** Total cost of the queued requests. */
    public double cost() {
        return queuedCost;
    }

    /** When the next request expires; empty if the queue is empty. */
    public Optional<Instant> nextExpiry() {
        return byLatestStart.isEmpty()
                ? Optional.empty()
                : Optional.of(byLatestStart.first().request().latestStart());
    }

    /** Cost per second at which the queue drains; 0 while unknown. */
    public double drainPerSecond(Instant now) {
        return drainRate.perSecond(now);
    }

    private void insert(Entry<T> e, Instant now) {
        QueuedRequest<T> request = e.request();
        OrganisationShare<T> share =
                shares.computeIfAbsent(request.organisation(), o -> new OrganisationShare<>(o, virtualTime));
        removeFromIndexes(share);
        if (share.entries.isEmpty()) {
            share.tag = Math.max(share.tag, virtualTime);
        }
        share.add(e);
        addToIndexes(share);
        byId.put(request.id(), e);
        byLatestStart.add(e);
        queuedCost += request.cost();
        drainRate.recordBacklog(now);
    }

    private void remove(Entry<T> e, Instant now) {
        OrganisationShare<T> share = shares.get(e.request().organisation());
        removeFromIndexes(share);
        share.remove(e);
        addToIndexes(share);
        byId.remove(e.request().id());
        byLatestStart.remove(e);
        queuedCost = byId.isEmpty() ? 0 : queuedCost - e.request().cost();
        if (byId.isEmpty()) {
            drainRate.recordEmpty(now);
        }
    }

    private void charge(OrganisationShare<T> share, double cost) {
        removeFromIndexes(share);
        share.tag += cost / share.weight;
        addToIndexes(share);
    }

    /** Removes an organisation from the sorted sets, which must happen before its sort keys change. */
    private void removeFromIndexes(OrganisationShare<T> share) {
        idle.remove(share);
        byOccupancy.remove(share);
        if (backlogged.remove(share)) {
            backloggedWeight -= share.weight;
        }
    }

    private void addToIndexes(OrganisationShare<T> share) {
        if (share.entries.isEmpty()) {
            idle.add(share);
            return;
        }
        backlogged.add(share);
        byOccupancy.add(share);
        backloggedWeight += share.weight;
    }

    /**
     * Removes idle organisations whose tag virtual time has passed. If they were removed earlier, an organisation that
     * only ever has a single queued request would restart at the current virtual time after each and exceed its share.
     */
    private void removeIdleShares() {
        if (backlogged.isEmpty() && !idle.isEmpty()) {
            virtualTime = Math.max(virtualTime, idle.last().tag);
        }
        while (!idle.isEmpty() && idle.first().tag <= virtualTime) {
            shares.remove(idle.pollFirst().organisation);
        }
    }

    /**
     * Expected seconds until a new request starts: the cost that its own organisation has ahead of it, plus the service
     * that the others get until virtual time reaches its tag, bounded by their queued cost.
     */
    private double expectedWait(QueuedRequest<T> request, Instant now) {
        double rate = drainRate.perSecond(now);
        if (rate <= 0 || byId.isEmpty()) {
            return 0;
        }
        OrganisationShare<T> share = shares.get(request.organisation());
        boolean hasBacklog = share != null && !share.entries.isEmpty();
        double own = hasBacklog ? costAhead(share, request) : 0;
        double tag = Math.max(virtualTime, share == null ? 0 : share.tag) + own / request.weight();
        double othersWeight = backloggedWeight - (hasBacklog ? share.weight : 0);
        double othersCost = queuedCost - (hasBacklog ? share.cost : 0);
        double others = Math.min(othersCost, (tag - virtualTime) * othersWeight);
        return (own + others) / rate;
    }

    /** Cost that the organisation has ahead of the new request, estimated from the request's place in its order. */
    private static <T> double costAhead(OrganisationShare<T> share, QueuedRequest<T> request) {
        Entry<T> last = share.entries.last();
        Entry<T> added = new Entry<>(request, Long.MAX_VALUE);
        if (Entry.<T>order().compare(last, added) <= 0) {
            return share.cost;
        }
        Entry<T> first = share.entries.first();
        return Entry.<T>order().compare(first, added) > 0 ? 0 : share.cost / 2;
    }

    private double backlogSeconds(Instant now) {
        double rate = drainRate.perSecond(now);
        return rate > 0 ? queuedCost / rate : MIN_RETRY_SECONDS;
    }

    private static <T> Problem deadlineRefusal(QueuedRequest<T> request, Instant now) {
        if (!request.deadline().isAfter(now)) {
            return Problem.notRun(
                    ProblemKind.DEADLINE_PASSED, "The deadline had passed before the request could start");
        }
        return Problem.notRun(
                ProblemKind.DEADLINE_UNREACHABLE,
                "The request needs about " + request.runTime().toMillis() + " ms to run, more than the time left");
    }

    /** Builds a refusal with jitter in its retry-after time, so that callers refused together do not retry together. */
    private Problem overloadRefusal(String reason, double seconds) {
        double minSeconds = Math.min(MAX_RETRY_SECONDS, Math.max(MIN_RETRY_SECONDS, seconds));
        Duration wait = Duration.ofNanos((long) (minSeconds * (1 + random.nextDouble()) * 1e9));
        return Problem.notRun(ProblemKind.OVERLOADED, "The backend server is overloaded: " + reason)
                .withRetryAfter(wait);
    }

    private static long millis(double seconds) {
        return (long) (seconds * 1_000);
    }

    private static double seconds(Duration d) {
        return d.toNanos() / 1e9;
    }
}
