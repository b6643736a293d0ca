package org.cornelramp.core.ledger;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.ProblemKind;
import org.testng.annotations.Test;

/**
 * Guards against a booking that runs twice because a full ledger had no room to record a refused key. The caller is told
 * that its call did not run and books again under a new key; after the ledger has room again, a late copy of the first
 * call arrives on another link and must not run.
 */
public class FullLedgerTest {
    private static final Incarnation SELF = new Incarnation(new BackendServerId("app-1"), 7);
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    @Test
    public void aKeyRefusedByAFullLedgerNeverRuns() {
        Ledger ledger = new Ledger(SELF, Duration.ofMinutes(1), 1, 1_000);
        ledger.admit(request("first", START), START);
        KeyVerdict refused = ledger.admit(request("second", START.plusSeconds(5)), START.plusSeconds(6));
        assertEquals(outcome(refused), Outcome.NOT_RUN);

        ledger.tombstone("first", KeyResult.notRun(ProblemKind.OVERLOADED, "full", 0));
        Instant later = START.plusSeconds(62);
        ledger.expire(later);
        assertEquals(ledger.size(), 0);
        KeyVerdict late = ledger.admit(request("second", START.plusSeconds(5)), later);
        assertEquals(outcome(late), Outcome.NOT_RUN);
        KeyVerdict fresh = ledger.admit(request("third", START.plusSeconds(61)), later);
        assertEquals(fresh, new KeyVerdict.Run());
    }

    @Test
    public void aRepeatedRefusedKeyIsAnsweredAsSpent() {
        Ledger ledger = new Ledger(SELF, Duration.ofMinutes(1), 9, 1_000);
        ledger.admit(request("first", START), START);
        ledger.tombstone("first", KeyResult.notRun(ProblemKind.OVERLOADED, "full", 900));
        KeyVerdict again = ledger.admit(request("first", START), START);
        assertEquals(((KeyVerdict.Settled) again).result().kind(), Optional.of(ProblemKind.KEY_SPENT));
    }

    @Test
    public void aClockSetBackDoesNotLetADroppedKeyRun() {
        Ledger ledger = new Ledger(SELF, Duration.ofMinutes(1), 9, 1_000);
        ledger.admit(request("first", START), START);
        ledger.start("first");
        ledger.finish("first", KeyResult.answered(201, "", new byte[1]));
        ledger.expire(START.plusSeconds(61));
        assertEquals(ledger.size(), 0);
        assertEquals(outcome(ledger.admit(request("first", START), START.plusSeconds(10))), Outcome.UNKNOWN);
    }

    @Test
    public void aKeyWhoseAnswerWasDroppedDoesNotRunAgain() {
        Ledger ledger = new Ledger(SELF, Duration.ofMinutes(1), 9, 10);
        for (String key : new String[] {"first", "second"}) {
            ledger.admit(request(key, START), START);
            ledger.start(key);
            ledger.finish(key, KeyResult.answered(201, "", new byte[8]));
        }
        assertEquals(outcome(ledger.admit(request("first", START), START)), Outcome.UNKNOWN);
        assertEquals(outcome(ledger.admit(request("second", START), START)), Outcome.ANSWERED);
        assertEquals(ledger.bytes(), 8);
    }

    private static KeyRequest request(String key, Instant minted) {
        return new KeyRequest(key, SELF, "same", minted);
    }

    private static Outcome outcome(KeyVerdict verdict) {
        return ((KeyVerdict.Settled) verdict).result().outcome();
    }
}
