package org.cornelramp.core.route;

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

/** The expected time weighs queue, speed, share and warm caches, and refuses with a time that spreads callers. */
public class ExpectedCompletionTest {
    private static final Duration LONG = Duration.ofMinutes(5);

    @Test
    public void aLongerQueueOnAFasterEngineMayStillEndSooner() {
        Candidate slow = Fleets.stage("slow", 0, 4, 4, Fleets.load(500, 200));
        Candidate fast = Fleets.stage("fast", 0, 4, 4, Fleets.load(1_000, 2_000));
        assertEquals(mostChosen(List.of(slow, fast), Fleets.request(100, 50, LONG)), fast);
    }

    @Test
    public void aFailingServerLosesWorkInProportion() {
        Candidate well = Fleets.stage("well", 0, 4, 4, Fleets.load(0, 1_000));
        Candidate c = Fleets.stage("failing", 0, 4, 4, Fleets.load(0, 1_500));
        Candidate failing = new Candidate(c.incarnation(), c.dataCentre(), c.offer(), c.load(), 0, 0, 0.1);
        assertEquals(mostChosen(List.of(well, failing), Fleets.request(100, 50, LONG)), well);
    }

    @Test
    public void whatThisEntrySentCountsBeforeTheAgentTellsIt() {
        Candidate c = Fleets.service("sent", new AgentLoad(0, 0, 0, 0, 10_000, 1));
        Candidate sent = new Candidate(c.incarnation(), c.dataCentre(), c.offer(), c.load(), 0, 40, 1);
        Candidate free = Fleets.service("free", new AgentLoad(3, 0, 0, 0, 10_000, 1));
        assertEquals(mostChosen(List.of(sent, free), Fleets.booking(LONG)), free);
    }

    @Test
    public void aWarmPrefixOutweighsAShortQueue() {
        Candidate cold = Fleets.stage("cold", 0, 4, 4, Fleets.load(0, 1_000));
        Candidate warm = Fleets.stage("warm", 0, 4, 4, Fleets.load(300, 1_000));
        PrefixHints hints = PrefixHints.NONE.withHeld("p", warm.incarnation(), Fleets.NOW);
        Work work = new Work(Fleets.MODEL, 1_000, 1, Fleets.NOW.plus(LONG), "p", Set.of());
        Chooser chooser = new ExpectedCompletionChooser(hints);
        assertEquals(mostChosen(chooser, List.of(cold, warm), work), warm);
    }

    @Test
    public void refusedCallersAreToldDifferentTimesNotBeforeTheQueueHasDrained() {
        Candidate full = Fleets.stage("full", 0, 4, 4, new AgentLoad(16, 144, 100_000, 1_000, 0, 1));
        Set<Duration> told = new HashSet<>();
        for (int seed = 0; seed < 20; seed++) {
            Problem p = choose(List.of(full), Fleets.request(100, 50, Duration.ofSeconds(60)), seed)
                    .getLeft();
            assertEquals(p.kind(), ProblemKind.OVERLOADED);
            assertTrue(p.retryAfter().toSeconds() >= 30, "told " + p.retryAfter());
            told.add(p.retryAfter());
        }
        assertTrue(told.size() > 10, "told " + told.size() + " different times");
    }

    @Test
    public void aVeryLongQueueStillSpreadsThoseItRefuses() {
        Candidate full = Fleets.stage("full", 0, 4, 4, new AgentLoad(16, 1_440, 1_000_000, 1_000, 0, 1));
        Set<Duration> told = new HashSet<>();
        for (int seed = 0; seed < 20; seed++) {
            told.add(choose(List.of(full), Fleets.request(100, 50, Duration.ofSeconds(60)), seed)
                    .getLeft()
                    .retryAfter());
        }
        assertTrue(told.size() > 10, "told " + told.size() + " different times");
    }

    @Test
    public void aDeadlineThatNoWaitingHelpsIsCalledUnreachable() {
        Candidate idle = Fleets.stage("idle", 0, 4, 4, Fleets.load(0, 100));
        Problem p = choose(List.of(idle), Fleets.request(1_000, 50, Duration.ofSeconds(2)), 1)
                .getLeft();
        assertEquals(p.kind(), ProblemKind.DEADLINE_UNREACHABLE);
        assertEquals(p.retryAfter(), Duration.ZERO);
    }

    private static Candidate mostChosen(List<Candidate> fleet, Work work) {
        return mostChosen(new ExpectedCompletionChooser(PrefixHints.NONE), fleet, work);
    }

    private static Candidate mostChosen(Chooser chooser, List<Candidate> fleet, Work work) {
        int first = 0;
        Random random = new Random(5);
        for (int i = 0; i < 100; i++) {
            Choice c = chooser.choose(fleet, work, Fleets.HERE, StaticLinkCosts.DEFAULTS, Fleets.NOW, random)
                    .get();
            first += c.stages().get(0).equals(fleet.get(0)) ? 1 : 0;
        }
        return fleet.get(first > 50 ? 0 : 1);
    }

    private static Either<Problem, Choice> choose(List<Candidate> fleet, Work work, long seed) {
        return new ExpectedCompletionChooser(PrefixHints.NONE)
                .choose(fleet, work, Fleets.HERE, StaticLinkCosts.DEFAULTS, Fleets.NOW, new Random(seed));
    }
}
