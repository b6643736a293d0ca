package org.cornelramp.gateway.peer;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.limit.RateLimitUpdate;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.poison.PoisonUpdate;
import org.cornelramp.core.retry.RetryLoanUpdate;
import org.testng.annotations.Test;

/** Which updates go to all peers at once. */
public class UpdateUrgencyTest {
    private static final ServiceName SERVICE = new ServiceName("llm");

    private static PeerUpdate update(
            Set<BackendServerId> suspects, Map<ServiceName, RetryLoanUpdate.LoanRequest> asks) {
        PeerUpdate.Sender sender = new PeerUpdate.Sender("g1", 1, new DataCentre("dc1"));
        return PeerUpdate.of(sender, 1, false, Map.of(), 0, Map.of(), suspects, new RetryLoanUpdate(asks, Map.of()));
    }

    /**
     * Guards against streams that stall until peers get their turn: forty streams lose an engine at a gateway with ten
     * retries, and most of the peers, which have retries to lend, would get its request only after half a second.
     */
    @Test
    public void requestForRetriesIsUrgentOnce() {
        UpdateUrgency urgency = new UpdateUrgency();
        Map<ServiceName, RetryLoanUpdate.LoanRequest> first = Map.of(SERVICE, new RetryLoanUpdate.LoanRequest(1, 30));
        assertEquals(urgency.isUrgent(update(Set.of(), Map.of())), false);
        assertEquals(urgency.isUrgent(update(Set.of(), first)), true);
        assertEquals(urgency.isUrgent(update(Set.of(), first)), false);
        assertEquals(urgency.isUrgent(update(Set.of(), Map.of(SERVICE, new RetryLoanUpdate.LoanRequest(2, 5)))), true);
    }

    /** Guards against peers that learn a server's limit only when their turn comes. */
    @Test
    public void changedLimitIsUrgentOnce() {
        UpdateUrgency urgency = new UpdateUrgency();
        PeerUpdate quiet = update(Set.of(), Map.of());
        assertEquals(urgency.isUrgent(quiet.withRateLimits(limit(2, 20))), true);
        assertEquals(urgency.isUrgent(quiet.withRateLimits(limit(2, 140))), false);
        assertEquals(urgency.isUrgent(quiet.withRateLimits(limit(1, 20))), true);
    }

    private static Map<BackendServerId, RateLimitUpdate> limit(double requestsPerSecond, long ageMillis) {
        RateLimitUpdate.Observation observed =
                new RateLimitUpdate.Observation(Optional.of(requestsPerSecond), ageMillis);
        return Map.of(new BackendServerId("i-1"), new RateLimitUpdate(Optional.of(observed), 3));
    }

    /** Guards against peers that send requests to a dead server until their turn comes. */
    @Test
    public void newSuspectIsUrgentOnce() {
        UpdateUrgency urgency = new UpdateUrgency();
        Set<BackendServerId> suspects = Set.of(new BackendServerId("i-1"));
        assertEquals(urgency.isUrgent(update(suspects, Map.of())), true);
        assertEquals(urgency.isUrgent(update(suspects, Map.of())), false);
    }

    /** Guards against peers that send a request to a third server before they hear of the crashes of two. */
    @Test
    public void newCrashIsUrgentOnce() {
        UpdateUrgency urgency = new UpdateUrgency();
        PeerUpdate quiet = update(Set.of(), Map.of());
        assertEquals(urgency.isUrgent(quiet.withPoison(crash(20, Set.of("f")))), true);
        assertEquals(urgency.isUrgent(quiet.withPoison(crash(140, Set.of("f")))), false);
        assertEquals(urgency.isUrgent(quiet.withPoison(crash(260, Set.of("f", "g")))), true);
    }

    /** Guards against a burst of updates of every gateway to every other one when all learn of a refusal. */
    @Test
    public void refusalIsNotUrgent() {
        PoisonUpdate refusal = new PoisonUpdate(List.of(), Map.of("f", 500_000L), Map.of(), Map.of());
        assertEquals(new UpdateUrgency().isUrgent(update(Set.of(), Map.of()).withPoison(refusal)), false);
    }

    private static PoisonUpdate crash(long ageMillis, Set<String> suspects) {
        PoisonUpdate.ToldCrash crash = new PoisonUpdate.ToldCrash("i-1", ageMillis, suspects);
        return new PoisonUpdate(List.of(crash), Map.of(), Map.of(), Map.of());
    }
}
