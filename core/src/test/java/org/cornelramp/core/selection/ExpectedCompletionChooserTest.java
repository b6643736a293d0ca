package org.cornelramp.core.selection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.testng.annotations.Test;

/** The expected time reflects queue, speed, share and cached prefixes; refusals carry spread retry delays. */
public class ExpectedCompletionChooserTest {
    private static final Duration LONG = Duration.ofMinutes(5);

    @Test
    public void fasterEngineWithLongerQueueIsPreferred() {
        Candidate slow = TestFleets.stage("slow", 0, 4, 4, TestFleets.load(500, 200));
        Candidate fast = TestFleets.stage("fast", 0, 4, 4, TestFleets.load(1_000, 2_000));
        assertEquals(mostOftenChosen(List.of(slow, fast), TestFleets.modelRequest(100, 50, LONG)), fast);
    }

    @Test
    public void reducedShareLowersTheChanceOfBeingChosen() {
        Candidate healthy = TestFleets.stage("well", 0, 4, 4, TestFleets.load(0, 1_000));
        Candidate c = TestFleets.stage("failing", 0, 4, 4, TestFleets.load(0, 1_500));
        Candidate failing = new Candidate(c.incarnation(), c.dataCentre(), c.offer(), c.load(), 0, 0, 0.1);
        assertEquals(mostOftenChosen(List.of(healthy, failing), TestFleets.modelRequest(100, 50, LONG)), healthy);
    }

    @Test
    public void outstandingCallsCountBeforeTheAgentReportsThem() {
        Candidate c = TestFleets.service("sent", new AgentLoad(0, 0, 0, 0, 10_000, 1));
        Candidate busy = new Candidate(c.incarnation(), c.dataCentre(), c.offer(), c.load(), 0, 40, 1);
        Candidate free = TestFleets.service("free", new AgentLoad(3, 0, 0, 0, 10_000, 1));
        assertEquals(mostOftenChosen(List.of(busy, free), TestFleets.bookingRequest(LONG)), free);
    }

    @Test
    public void cachedPrefixOutweighsShortQueue() {
        Candidate uncached = TestFleets.stage("cold", 0, 4, 4, TestFleets.load(0, 1_000));
        Candidate cached = TestFleets.stage("warm", 0, 4, 4, TestFleets.load(300, 1_000));
        PrefixHints hints = PrefixHints.NONE.withCached("p", cached.incarnation(), TestFleets.NOW);
        RoutingRequest request =
                new RoutingRequest(TestFleets.MODEL, 1_000, 1, TestFleets.NOW.plus(LONG), "p", Set.of());
        Chooser chooser = new ExpectedCompletionChooser(hints);
        assertEquals(mostOftenChosen(chooser, List.of(uncached, cached), request), cached);
    }

    @Test
    public void retryAfterIsSpreadAndNotBeforeTheQueueDrains() {
        Candidate full = TestFleets.stage("full", 0, 4, 4, new AgentLoad(16, 144, 100_000, 1_000, 0, 1));
        Set<Duration> retryDelays = new HashSet<>();
        for (int seed = 0; seed < 20; seed++) {
            Problem p = choose(List.of(full), TestFleets.modelRequest(100, 50, Duration.ofSeconds(60)), seed)
                    .getLeft();
            assertEquals(p.kind(), ProblemKind.OVERLOADED);
            assertTrue(p.retryAfter().toSeconds() >= 30, "retry after " + p.retryAfter());
            retryDelays.add(p.retryAfter());
        }
        assertTrue(retryDelays.size() > 10, "got " + retryDelays.size() + " different retry delays");
    }

    @Test
    public void retryAfterIsSpreadBehindVeryLongQueue() {
        Candidate full = TestFleets.stage("full", 0, 4, 4, new AgentLoad(16, 1_440, 1_000_000, 1_000, 0, 1));
        Set<Duration> retryDelays = new HashSet<>();
        for (int seed = 0; seed < 20; seed++) {
            retryDelays.add(choose(List.of(full), TestFleets.modelRequest(100, 50, Duration.ofSeconds(60)), seed)
                    .getLeft()
                    .retryAfter());
        }
        assertTrue(retryDelays.size() > 10, "got " + retryDelays.size() + " different retry delays");
    }

    @Test
    public void deadlineShorterThanUnloadedTimeIsUnreachable() {
        Candidate idle = TestFleets.stage("idle", 0, 4, 4, TestFleets.load(0, 100));
        Problem p = choose(List.of(idle), TestFleets.modelRequest(1_000, 50, Duration.ofSeconds(2)), 1)
                .getLeft();
        assertEquals(p.kind(), ProblemKind.DEADLINE_UNREACHABLE);
        assertEquals(p.retryAfter(), Duration.ZERO);
    }

    private static Candidate mostOftenChosen(List<Candidate> fleet, RoutingRequest request) {
        return mostOftenChosen(new ExpectedCompletionChooser(PrefixHints.NONE), fleet, request);
    }

    private static Candidate mostOftenChosen(Chooser chooser, List<Candidate> fleet, RoutingRequest request) {
        int first = 0;
        Random random = new Random(5);
        for (int i = 0; i < 100; i++) {
            Choice c = chooser.choose(fleet, request, TestFleets.HERE, StaticLinkCosts.DEFAULTS, TestFleets.NOW, random)
                    .get();
            first += c.stages().get(0).equals(fleet.get(0)) ? 1 : 0;
        }
        return fleet.get(first > 50 ? 0 : 1);
    }

    private static Either<Problem, Choice> choose(List<Candidate> fleet, RoutingRequest request, long seed) {
        return new ExpectedCompletionChooser(PrefixHints.NONE)
                .choose(fleet, request, TestFleets.HERE, StaticLinkCosts.DEFAULTS, TestFleets.NOW, new Random(seed));
    }
}
