package org.cornelramp.core.shutdown;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.routing.Route;
import org.cornelramp.core.routing.RouteKind;
import org.cornelramp.core.routing.WeightedService;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which requests a process accepts between its stop signal, at 0, and its end, 7.6 s later. */
public class ShutdownPolicyTest {
    private static final long GRACE_MILLIS = 8_000;
    private static final long END_MILLIS = 7_600;
    private static final long TIMEOUT_MILLIS = 3_000;

    private ShutdownPolicy policy;

    @BeforeMethod
    public void create() {
        policy = new ShutdownPolicy();
    }

    private static Route route(RouteKind kind, boolean resumable) {
        return new Route(
                "r",
                "h",
                "/",
                kind,
                TIMEOUT_MILLIS,
                300,
                0,
                1,
                2,
                false,
                resumable,
                List.of(new WeightedService(new ServiceName("s"), 1)));
    }

    private boolean accepts(RouteKind kind, boolean resumable, long now) {
        return policy.accepts(route(kind, resumable), now + TIMEOUT_MILLIS, now);
    }

    private void stop() {
        policy.begin(ShutdownPeriod.of(0, GRACE_MILLIS));
    }

    private void recordResponses(int count, long millis) {
        for (int i = 0; i < count; i++) {
            policy.recordResponse("r", millis);
        }
    }

    @Test
    public void acceptsEverythingBeforeTheSignal() {
        assertTrue(accepts(RouteKind.UNSAFE, false, 0));
        assertFalse(policy.isOver(Long.MAX_VALUE));
    }

    @Test
    public void acceptsARequestWhoseDeadlineIsBeforeTheEnd() {
        stop();
        assertTrue(accepts(RouteKind.UNSAFE, false, END_MILLIS - TIMEOUT_MILLIS));
        assertFalse(accepts(RouteKind.UNSAFE, false, END_MILLIS - TIMEOUT_MILLIS + 1));
        assertFalse(accepts(RouteKind.SAFE, false, END_MILLIS - TIMEOUT_MILLIS + 1));
        assertTrue(policy.accepts(route(RouteKind.UNSAFE, false), END_MILLIS, END_MILLIS - 1), "a short deadline");
    }

    @Test
    public void knowsARouteByItsLatestRequests() {
        stop();
        recordResponses(3, 60);
        assertFalse(accepts(RouteKind.UNSAFE, false, 7_000), "too few requests to tell");
        recordResponses(1, 100);
        assertTrue(accepts(RouteKind.UNSAFE, false, 7_350));
        assertFalse(accepts(RouteKind.UNSAFE, false, 7_351));
        recordResponses(1, 2_500);
        assertFalse(accepts(RouteKind.UNSAFE, false, 7_000));
        recordResponses(32, 60);
        assertTrue(accepts(RouteKind.UNSAFE, false, 7_000), "an old request says nothing any more");
    }

    @Test
    public void knowsThatARouteHasBecomeSlow() {
        stop();
        recordResponses(8, 60);
        policy.setOldestInProgress(Map.of("r", 400L));
        assertFalse(accepts(RouteKind.UNSAFE, false, 7_000));
        policy.setOldestInProgress(Map.of());
        assertTrue(accepts(RouteKind.UNSAFE, false, 7_000));
    }

    /** A refused client might be sent to this process again, and a stream that is cut is resumed elsewhere. */
    @Test
    public void acceptsResumableStreamsUntilTheBalancerKnows() {
        recordResponses(8, 60_000);
        policy.begin(new ShutdownPeriod(0, 2_500, 2_600));
        assertTrue(accepts(RouteKind.STREAMING, true, 2_499));
        assertFalse(accepts(RouteKind.STREAMING, true, 2_500));
        assertFalse(accepts(RouteKind.STREAMING, false, 0));
    }

    /** A stream that takes longer than the others would be cut. */
    @Test
    public void judgesStreamsByTheirDeadlineOnceTheBalancerKnows() {
        stop();
        recordResponses(8, 60);
        assertTrue(accepts(RouteKind.STREAMING, false, 2_499));
        assertTrue(accepts(RouteKind.STREAMING, true, END_MILLIS - TIMEOUT_MILLIS));
        assertFalse(accepts(RouteKind.STREAMING, true, END_MILLIS - TIMEOUT_MILLIS + 1));
    }

    @Test
    public void acceptsNothingAfterTheEndOrOnceClosed() {
        stop();
        assertFalse(accepts(RouteKind.SAFE, false, END_MILLIS));
        assertTrue(policy.isOver(END_MILLIS));
        assertTrue(accepts(RouteKind.SAFE, false, 100));
        policy.close();
        assertFalse(accepts(RouteKind.SAFE, false, 100));
    }

    @Test
    public void reservesPartOfAShortGraceTimeOnly() {
        assertEquals(ShutdownPeriod.of(5, 8_000), new ShutdownPeriod(5, 2_505, 7_605));
        assertEquals(ShutdownPeriod.of(5, 400), new ShutdownPeriod(5, 305, 305));
        assertTrue(ShutdownPeriod.of(5, 0).isOver(5));
    }
}
