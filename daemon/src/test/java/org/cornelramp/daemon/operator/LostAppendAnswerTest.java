package org.cornelramp.daemon.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.operate.EditResult;
import org.cornelramp.daemon.table.MemoryLog;
import org.cornelramp.daemon.table.TestEntry;
import org.testng.annotations.Test;

/**
 * An operator edits a row; the log takes the record and its answer is lost. The operator must be told that the edit
 * is accepted, once, and not that it lost to itself. If the record never got there, it is appended again and
 * accepted. Only if the log refuses each time is the operator told that nothing was changed.
 */
public class LostAppendAnswerTest {
    /** The read-back that cannot succeed is given up on soon; the others end as soon as they succeed. */
    private static final EditLimits LIMITS = new EditLimits(TestEntry.LONG, TestEntry.LONG, Duration.ofSeconds(1));

    private static Either<Problem, List<EditResult>> edit(MemoryLog log, TestEntry entry, String id, long against)
            throws InterruptedException {
        return new EditService(log, entry.keeper, Clock.systemUTC(), LIMITS)
                .apply(List.of(TestEntry.edit(id, against, 5)));
    }

    private static void accepts(MemoryLog.AppendFault fault, int faults, long records) throws Exception {
        MemoryLog log = new MemoryLog();
        try (TestEntry entry = new TestEntry(log, "e1").start()) {
            log.failAppends(fault, faults);
            EditResult result = edit(log, entry, "a", -1).get().get(0);
            assertEquals(result.kind(), EditResult.Kind.ACCEPTED);
            assertEquals(log.size(), records);
            assertEquals(entry.tableAt(records).version(TestEntry.KEY), (long)
                    result.offset().orElseThrow());
        }
    }

    @Test
    public void anEditThatTookEffectIsAcceptedOnce() throws Exception {
        accepts(MemoryLog.AppendFault.LOSE_ANSWER, 1, 2);
        accepts(MemoryLog.AppendFault.LOSE_ANSWER, 6, 7);
    }

    @Test
    public void anEditThatNeverGotThereIsAppendedAgain() throws Exception {
        accepts(MemoryLog.AppendFault.LOSE_CALL, 1, 1);
    }

    @Test
    public void aLogThatRefusesEachTimeHasChangedNothing() throws Exception {
        MemoryLog log = new MemoryLog();
        try (TestEntry entry = new TestEntry(log, "e1").start()) {
            entry.tableAt(0);
            log.failAppends(MemoryLog.AppendFault.REFUSE, Integer.MAX_VALUE);
            Problem problem = edit(log, entry, "a", -1).getLeft();
            assertEquals(problem.kind(), ProblemKind.EDIT_NOT_TAKEN);
            assertEquals(problem.outcome(), Outcome.NOT_RUN);
            assertEquals(log.size(), 0);
        }
    }

    @Test
    public void whatCannotBeReadBackIsUnknownAndSaysHowToFindOut() throws Exception {
        MemoryLog log = new MemoryLog();
        try (TestEntry entry = new TestEntry(log, "e1").start()) {
            edit(log, entry, "a", -1);
            entry.tableAt(1);
            log.setReadable(false);
            log.failAppends(MemoryLog.AppendFault.LOSE_ANSWER, 1);
            EditResult result = edit(log, entry, "b", 0).get().get(0);
            assertEquals(result.kind(), EditResult.Kind.UNKNOWN);
            assertTrue(result.detail().contains("history shows whether edit b was accepted"), result.detail());
        }
    }
}
