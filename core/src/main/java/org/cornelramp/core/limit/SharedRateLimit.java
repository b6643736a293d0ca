package org.cornelramp.core.limit;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.model.BackendServerId;

/**
 * The rate limit of one backend server, as one of the gateways that share it applies it. Owned by one thread.
 *
 * <p>Each gateway counts what it sends and hears what the others have sent, some time later. Two token buckets hold it
 * back: one for all gateways, which is charged for every request once it is known, and one of its own, which bounds what
 * the others do not know yet. A gateway that has not been heard recently is charged for an even part in advance, and
 * settled when it is heard again.
 *
 * <p>Invariant: the requests that all gateways send in a time t exceed the limit × t by at most five, and by what the
 * limit allows in 1.5 seconds.
 */
final class SharedRateLimit {
    /** Most gateways that share a low limit: each may send a request that the others do not know of yet. */
    private static final int MIN_SHARERS = 4;

    /** Further gateways for each request per second. */
    private static final double SHARERS_PER_RATE = 0.5;

    /** Requests that may be sent at once after a time without any, in addition to {@link #BURST_SECONDS}. */
    private static final double BURST = 1.5;

    /** Requests that all other sharers together may send unheard, in addition to {@link #BURST_SECONDS}. */
    private static final double BURST_OF_OTHERS = 3;

    /** Part of both bursts that grows with the limit, as the time in which it allows as many requests. */
    private static final double BURST_SECONDS = 0.25;

    /** Age of a sharer's count from which on it is charged in advance. */
    private static final long FRESH_MILLIS = 500;

    /** Number of gateways up to which each hears the others in every round of updates. */
    private static final int SMALL_GROUP = 9;

    /** Multiple of its even part that one gateway may use while the others use less, in a small and in a large group. */
    private static final double SMALL_GROUP_PART = 4;

    private static final double LARGE_GROUP_PART = 2;

    /**
     * Lowest rate that is applied, in requests per second. Only an answer can end a limit, so a server that names 0 gets
     * a request every ten seconds.
     */
    private static final double MIN_RATE = 0.1;

    private final BackendServerId server;
    private final GatewayGroup group;
    private TokenBucket shared;
    private TokenBucket own;
    private final Map<String, SharerCount> counts = new HashMap<>();
    private List<String> sharers = List.of();
    private long sharersVersion = -1;
    private double sharersRate = -1;
    private Optional<Double> rate = Optional.empty();
    private long observedMillis = Long.MIN_VALUE;
    private boolean observedHere;
    private long affirmedMillis;
    private long updatedMillis;
    private long sent;

    private static final class SharerCount {
        private long incarnation;
        private long sent;
        private long heardMillis = Long.MIN_VALUE;
        private double prepaid;

        boolean isStale(long nowMillis) {
            return heardMillis == Long.MIN_VALUE || nowMillis - heardMillis > FRESH_MILLIS;
        }
    }

    SharedRateLimit(BackendServerId server, GatewayGroup group, long nowMillis) {
        this.server = server;
        this.group = group;
        this.shared = new TokenBucket(0, Instant.ofEpochMilli(nowMillis));
        this.own = new TokenBucket(0, Instant.ofEpochMilli(nowMillis));
        this.updatedMillis = nowMillis;
        this.affirmedMillis = nowMillis;
    }

    /** The limit in force, in requests per second; empty if there is none any more. */
    Optional<Double> rate() {
        return rate;
    }

    /** When the answer was received that the present state follows from. */
    long observedMillis() {
        return observedMillis;
    }

    /** Records what an answer has said about the limit. */
    void setRate(Optional<Double> requestsPerSecond, long atMillis, boolean here, long nowMillis) {
        refill(nowMillis);
        if (rate.isEmpty()) {
            shared = new TokenBucket(0, Instant.ofEpochMilli(nowMillis));
            own = new TokenBucket(0, Instant.ofEpochMilli(nowMillis));
        }
        rate = requestsPerSecond.map(value -> Math.max(MIN_RATE, value));
        observedMillis = atMillis;
        observedHere = here;
        affirmedMillis = nowMillis;
    }

    /** Records that a peer still names a limit. */
    void affirm(long nowMillis) {
        affirmedMillis = nowMillis;
    }

    /** Whether the limit is known from peers only, and none has named it for some time. */
    boolean isForgotten(long nowMillis) {
        return rate.isPresent() && !observedHere && nowMillis - affirmedMillis > GatewayGroup.PEER_VALID_MILLIS;
    }

    /** Whether another request may be sent now. */
    boolean mayStart(long nowMillis) {
        refill(nowMillis);
        return rate.isEmpty()
                || (isSharer()
                        && shared.secondsUntil(1, 1) == 0
                        && (sharers.size() == 1 || own.secondsUntil(1, 1) == 0));
    }

    /** Time until another request may be sent, in milliseconds; empty if this gateway has no part of the limit. */
    Optional<Long> millisUntilStart(long nowMillis) {
        refill(nowMillis);
        if (rate.isEmpty()) {
            return Optional.of(0L);
        }
        double seconds = Math.max(shared.secondsUntil(1, sharedRate(nowMillis)), own.secondsUntil(1, ownRate()));
        return isSharer() ? Optional.of((long) Math.ceil(seconds * 1_000)) : Optional.empty();
    }

    /** Counts a request that is sent. */
    void recordSent() {
        sent++;
        shared.take(1);
        own.take(1);
    }

    /** Number of gateways among which the limit is divided. */
    int sharerCount() {
        return sharers.size();
    }

    private boolean isSharer() {
        return sharers.contains(group.self());
    }

    /** Records how many requests a peer has sent to the server since it has known the limit. */
    void recordPeerCount(String peer, long incarnation, long total, long nowMillis) {
        refill(nowMillis);
        if (!sharers.contains(peer)) {
            return;
        }
        SharerCount count = counts.computeIfAbsent(peer, name -> new SharerCount());
        double added = incarnation == count.incarnation ? Math.max(0, total - count.sent) : total;
        shared.take(Math.min(added - count.prepaid, maxDebt())); // gives back what was charged in advance and not sent
        count.incarnation = incarnation;
        count.sent = total;
        count.heardMillis = nowMillis;
        count.prepaid = 0;
    }

    /** Most that one update charges: a peer's first count may be older than this gateway's knowledge of the limit. */
    private double maxDebt() {
        return BURST_OF_OTHERS + burst();
    }

    private void refill(long nowMillis) {
        if (rate.isEmpty()) {
            updatedMillis = nowMillis;
            return;
        }
        updateSharers();
        Instant now = Instant.ofEpochMilli(nowMillis);
        double even = rate.get() / divisor(nowMillis);
        double seconds = Math.max(0, nowMillis - updatedMillis) / 1_000.0;
        staleSharers(nowMillis)
                .forEach(name -> counts.computeIfAbsent(name, any -> new SharerCount()).prepaid += even * seconds);
        shared.refill(sharedRate(nowMillis), burst(), now);
        own.refill(ownRate(), Math.max(1, ownBurst()), now);
        updatedMillis = nowMillis;
    }

    private void updateSharers() {
        if (sharersVersion != group.version() || sharersRate != rate.get()) {
            sharersVersion = group.version();
            sharersRate = rate.get();
            sharers = group.sharers(server, maxSharers());
            counts.keySet().retainAll(sharers);
        }
    }

    private int maxSharers() {
        return (int) Math.min(Integer.MAX_VALUE, MIN_SHARERS + SHARERS_PER_RATE * rate.get());
    }

    /** Number of sharers, including gateways that may not be known yet. */
    private int divisor(long nowMillis) {
        return Math.max(sharers.size(), Math.min(maxSharers(), group.size(nowMillis)));
    }

    private List<String> staleSharers(long nowMillis) {
        return sharers.stream()
                .filter(name -> !name.equals(group.self()))
                .filter(name -> !counts.containsKey(name) || counts.get(name).isStale(nowMillis))
                .toList();
    }

    /** The part of the limit that is not charged in advance for gateways that have not been heard. */
    private double sharedRate(long nowMillis) {
        int divisor = divisor(nowMillis);
        int unheard = staleSharers(nowMillis).size() + divisor - sharers.size();
        return rate.get() * (divisor - unheard) / divisor;
    }

    private double ownRate() {
        double part = group.size(updatedMillis) <= SMALL_GROUP ? SMALL_GROUP_PART : LARGE_GROUP_PART;
        return rate.get() * Math.min(1, part / Math.max(1, sharers.size()));
    }

    private double burst() {
        return BURST + BURST_SECONDS * rate.orElse(0.0);
    }

    private double ownBurst() {
        return (BURST_OF_OTHERS + BURST_SECONDS * rate.get()) / Math.max(1, sharers.size() - 1);
    }

    /** What this gateway tells its peers. */
    RateLimitUpdate update(long nowMillis) {
        Optional<RateLimitUpdate.Observation> observed = observedHere
                ? Optional.of(new RateLimitUpdate.Observation(rate, nowMillis - observedMillis))
                : Optional.empty();
        return new RateLimitUpdate(observed, sent);
    }

    /** Whether peers should hear of the limit: it is in force, or its end may not have reached all of them. */
    boolean isWorthTelling(long nowMillis) {
        return rate.isPresent() || nowMillis - observedMillis < GatewayGroup.PEER_VALID_MILLIS;
    }
}
