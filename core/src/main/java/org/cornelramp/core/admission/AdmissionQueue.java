package org.cornelramp.core.admission;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.cornelramp.core.model.OrganisationId;

/**
 * The requests that wait at a gateway for capacity, bounded in number and time.
 *
 * <p>A request waits until its client would leave before the first event. One that is not expected to start by then is
 * refused at once. A full queue gives the place of its least urgent request to a more urgent one, or to the first of a
 * priority or organisation that got less than a quarter of the mean share.
 *
 * <p>Invariant: at most {@code capacity} requests wait, each in all indexes; {@code lines} sums those that can be on
 * time. Operations take logarithmic time, except for {@link #inOrder}, which sorts, and an offer to a full queue, which
 * may pass over protected requests. Owned by one thread, which passes the steady clock's time in.
 */
public final class AdmissionQueue<T> {
    /** Part of the drain rate that a priority is expected to get however many more urgent requests arrive. */
    private static final double MIN_RATE_PART = 0.1;

    private final int capacity;
    private final Map<Long, WaitingEntry<T>> byId = new HashMap<>();
    private final TreeSet<WaitingEntry<T>> byUrgency = new TreeSet<>(WaitingEntry.byUrgency());
    private final TreeSet<WaitingEntry<T>> byPatience = new TreeSet<>(WaitingEntry.byPatience());
    private final TreeSet<WaitingEntry<T>> onTimeByTarget = new TreeSet<>(WaitingEntry.byTarget());
    private final TreeMap<Integer, Line> lines = new TreeMap<>();
    private final Map<Optional<OrganisationId>, Integer> sizeByOrganisation = new HashMap<>();
    private final DrainRate drainRate;
    private final ShareTracker shares;
    private long firstEventMillis;
    private long latestMillis = Long.MIN_VALUE;

    /** Number and cost of the waiting requests of one priority. Immutable. */
    private record Line(int size, int onTime, double onTimeCost) {
        static final Line EMPTY = new Line(0, 0, 0);

        Line plus(int count, int onTimeCount, double cost) {
            int left = onTime + onTimeCount;
            return new Line(size + count, left, left == 0 ? 0 : onTimeCost + cost);
        }
    }

    /**
     * @param capacity maximum number of waiting requests
     */
    public AdmissionQueue(int capacity) {
        this(capacity, new DrainRate(), new ShareTracker());
    }

    private AdmissionQueue(int capacity, DrainRate drainRate, ShareTracker shares) {
        this.capacity = capacity;
        this.drainRate = drainRate;
        this.shares = shares;
    }

    /**
     * Returns a copy that changes independently, to find out what this queue would decide without changing it. Takes
     * time proportional to the waiting requests and to the organisations with a recent share.
     */
    public AdmissionQueue<T> copy() {
        AdmissionQueue<T> copy = new AdmissionQueue<>(capacity, drainRate.copy(), shares.copy());
        for (WaitingEntry<T> entry : byId.values()) {
            WaitingEntry<T> copied = entry.copy();
            copy.byId.put(copied.request.id(), copied);
            copy.byUrgency.add(copied);
            copy.byPatience.add(copied);
            if (onTimeByTarget.contains(entry)) {
                copy.onTimeByTarget.add(copied);
            }
        }
        copy.lines.putAll(lines);
        copy.sizeByOrganisation.putAll(sizeByOrganisation);
        copy.firstEventMillis = firstEventMillis;
        copy.latestMillis = latestMillis;
        return copy;
    }

    /** Sets the expected time from a start to the first event, from which latest starts are derived; 0 at first. */
    public void setFirstEventMillis(long expectedMillis) {
        firstEventMillis = Math.max(0, expectedMillis);
    }

    /**
     * Lets a request wait, or refuses it at once if it can't be served.
     *
     * @return the refusal, or the requests that were evicted to make room, at most one
     */
    public Either<AdmissionRefusal, List<Evicted<T>>> offer(WaitingRequest<T> request, long nowMillis) {
        if (byId.containsKey(request.id())) {
            throw new IllegalArgumentException("Request ids must be unique in the queue; id=" + request.id());
        }
        advance(nowMillis);
        shares.recordOffered(request.priority(), request.organisation(), request.cost(), nowMillis);
        boolean goesFirst = isFirstOfStarved(request, nowMillis);
        long wait = goesFirst ? 0 : expectedWaitMillis(request.priority(), nowMillis);
        long slack = request.patienceMillis() - firstEventMillis - nowMillis;
        if (slack < 0 || wait > slack) {
            return Either.left(refusal(slack < 0 ? RefusalReason.OUT_OF_TIME : RefusalReason.WAIT_TOO_LONG, request));
        }
        List<Evicted<T>> evicted = new ArrayList<>();
        if (byId.size() >= capacity) {
            WaitingEntry<T> victim = leastUrgent(nowMillis);
            if (victim == null || (!goesFirst && request.priority() >= victim.request.priority())) {
                return Either.left(refusal(RefusalReason.QUEUE_FULL, request));
            }
            remove(victim);
            evicted.add(new Evicted<>(victim.request, refusal(RefusalReason.DISPLACED, victim.request)));
        }
        insert(new WaitingEntry<>(request));
        return Either.right(evicted);
    }

    /** Returns the order in which the requests should be tried; see {@link AdmissionOrder}. */
    public List<WaitingRequest<T>> inOrder(long nowMillis) {
        return inOrder(nowMillis, organisation -> 0);
    }

    /**
     * Returns the order in which the requests should be tried.
     *
     * @param usedElsewhere capacity that an organisation uses through other gateways, in the unit of the cost
     */
    public List<WaitingRequest<T>> inOrder(long nowMillis, ToDoubleFunction<Optional<OrganisationId>> usedElsewhere) {
        advance(nowMillis);
        ToDoubleFunction<Optional<OrganisationId>> used = organisation ->
                shares.admittedCost(organisation, nowMillis) + usedElsewhere.applyAsDouble(organisation);
        return new AdmissionOrder<T>(
                        shares, used, priority -> standing(priority, nowMillis).isFirst(), nowMillis)
                .sort(byId.values());
    }

    /** Removes a request whose client left or whose answer is decided elsewhere. */
    public boolean remove(long id) {
        WaitingEntry<T> entry = byId.get(id);
        if (entry != null) {
            remove(entry);
        }
        return entry != null;
    }

    /**
     * Replaces a waiting request whose priority or times have changed by another one with the same id. It keeps its place
     * in a full queue, and counts as offered once.
     */
    public boolean replace(WaitingRequest<T> changed, long nowMillis) {
        WaitingEntry<T> entry = byId.get(changed.id());
        if (entry != null) {
            advance(nowMillis);
            remove(entry);
            insert(new WaitingEntry<>(changed));
        }
        return entry != null;
    }

    /** Returns a waiting request. */
    public Optional<WaitingRequest<T>> find(long id) {
        return Optional.ofNullable(byId.get(id)).map(entry -> entry.request);
    }

    /** Number of waiting requests. */
    public int size() {
        return byId.size();
    }

    /** Number of waiting requests of a priority. */
    public int size(int priority) {
        return lines.getOrDefault(priority, Line.EMPTY).size();
    }

    /** Whether a request waits that is at least as urgent as the given priority. */
    public boolean isWaiting(int priority) {
        return !lines.headMap(priority, true).isEmpty();
    }

    /** Whether a request that is at least as urgent as the given priority waits and can still be on time. */
    public boolean isOnTimeWaiting(int priority, long nowMillis) {
        advance(nowMillis);
        return lines.headMap(priority, true).values().stream().anyMatch(line -> line.onTime() > 0);
    }

    /** How the recent shares of a request's priority and organisation affect the decision on it. */
    public Standing standing(WaitingRequest<T> request, long nowMillis) {
        Standing byPriority = standing(request.priority(), nowMillis);
        return shares.isStarved(request.organisation(), nowMillis) ? Standing.STARVED : byPriority;
    }

    private Standing standing(int priority, long nowMillis) {
        if (shares.isStarved(priority, nowMillis)) {
            return Standing.STARVED;
        }
        return shares.isInverted(priority, this::size, nowMillis) ? Standing.INVERTED : Standing.FAIR;
    }

    /** Removes the requests whose clients would leave before the first event. */
    public List<Evicted<T>> expire(long nowMillis) {
        advance(nowMillis);
        List<Evicted<T>> expired = new ArrayList<>();
        while (!byPatience.isEmpty() && byPatience.first().request.patienceMillis() < nowMillis + firstEventMillis) {
            WaitingEntry<T> entry = byPatience.first();
            remove(entry);
            expired.add(new Evicted<>(entry.request, refusal(RefusalReason.PATIENCE_ENDED, entry.request)));
        }
        return expired;
    }

    /** Records that a request starts at once, without having been offered. */
    public void recordAdmittedAtOnce(WaitingRequest<T> request, long nowMillis) {
        shares.recordOffered(request.priority(), request.organisation(), request.cost(), nowMillis);
        recordAdmitted(request, nowMillis);
    }

    /** Records that a request starts, and removes it if it waits. */
    public void recordAdmitted(WaitingRequest<T> request, long nowMillis) {
        advance(nowMillis);
        drainRate.recordDequeue(request.cost(), instant());
        shares.recordAdmitted(request.priority(), request.organisation(), request.cost(), nowMillis);
        remove(request.id());
    }

    /** Charges an organisation for a request that returned before the retry time that it was given. */
    public void recordEarlyRetry(WaitingRequest<T> request, long nowMillis) {
        shares.recordEarlyRetry(request.organisation(), request.cost(), nowMillis);
    }

    /**
     * Expected wait of a request of a priority: the cost of the waiting requests that go before it, over the rate that
     * more urgent arrivals leave. 0 until the rate at which capacity becomes free is known.
     */
    public long expectedWaitMillis(int priority, long nowMillis) {
        advance(nowMillis);
        double rate = drainRate.perSecond(instant());
        double ahead = 0;
        for (Line line : lines.headMap(priority, true).values()) {
            ahead += line.onTimeCost();
        }
        if (rate <= 0 || ahead <= 0) {
            return 0;
        }
        double left = rate - shares.moreUrgentCostPerSecond(priority, nowMillis);
        return (long) (ahead * 1_000 / Math.max(left, MIN_RATE_PART * rate));
    }

    private AdmissionRefusal refusal(RefusalReason reason, WaitingRequest<T> request) {
        long wait = expectedWaitMillis(request.priority(), latestMillis);
        return new AdmissionRefusal(reason, wait, RetryTime.millis(wait, request.patienceMillis() - latestMillis));
    }

    /** Whether the request would be the only one waiting of a starved priority or organisation. */
    private boolean isFirstOfStarved(WaitingRequest<T> request, long nowMillis) {
        return isProtected(request, 0, nowMillis);
    }

    private boolean isProtected(WaitingRequest<T> request, int places, long nowMillis) {
        int ofOrganisation = sizeByOrganisation.getOrDefault(request.organisation(), 0);
        return (size(request.priority()) == places && shares.isStarved(request.priority(), nowMillis))
                || (ofOrganisation == places && shares.isStarved(request.organisation(), nowMillis));
    }

    private WaitingEntry<T> leastUrgent(long nowMillis) {
        for (WaitingEntry<T> entry : byUrgency.descendingSet()) {
            if (!isProtected(entry.request, 1, nowMillis)) {
                return entry;
            }
        }
        return null;
    }

    private void insert(WaitingEntry<T> entry) {
        WaitingRequest<T> request = entry.request;
        byId.put(request.id(), entry);
        byUrgency.add(entry);
        byPatience.add(entry);
        onTimeByTarget.add(entry);
        addToLine(request.priority(), 1, 1, request.cost());
        sizeByOrganisation.merge(request.organisation(), 1, Integer::sum);
        drainRate.recordBacklog(instant());
        advance(latestMillis);
    }

    private void remove(WaitingEntry<T> entry) {
        WaitingRequest<T> request = entry.request;
        byId.remove(request.id());
        byUrgency.remove(entry);
        byPatience.remove(entry);
        onTimeByTarget.remove(entry);
        addToLine(request.priority(), -1, entry.late ? 0 : -1, entry.late ? 0 : -request.cost());
        sizeByOrganisation.computeIfPresent(request.organisation(), (o, n) -> n == 1 ? null : n - 1);
        if (byId.isEmpty()) {
            drainRate.recordEmpty(instant());
        }
    }

    private void addToLine(int priority, int count, int onTimeCount, double cost) {
        Line line = lines.getOrDefault(priority, Line.EMPTY).plus(count, onTimeCount, cost);
        if (line.size() == 0) {
            lines.remove(priority);
        } else {
            lines.put(priority, line);
        }
    }

    /** Moves the time on, and marks the requests that can't be on time any more as late. */
    private void advance(long nowMillis) {
        latestMillis = Math.max(latestMillis, nowMillis);
        while (!onTimeByTarget.isEmpty()
                && onTimeByTarget.first().request.targetMillis() < latestMillis + firstEventMillis) {
            WaitingEntry<T> entry = onTimeByTarget.pollFirst();
            entry.late = true;
            addToLine(entry.request.priority(), 0, -1, -entry.request.cost());
        }
    }

    private Instant instant() {
        return Instant.ofEpochMilli(latestMillis);
    }
}
