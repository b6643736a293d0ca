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
 * Guards against a wrong result of an edit when the log appends its record and the answer is lost: the edit is accepted
 * once and must not be rejected as a conflict with its own first record. If the request is lost, the record is appended
 * again and accepted. Only if the log refuses every attempt is the edit reported as not run.
 */
public class LostAppendAnswerTest {
    /**
     * The limit on the read-back is short because one test waits until it passes; the other waits end as soon as they
     * succeed.
     */
    private static final EditLimits LIMITS =
            new EditLimits(TestEntry.TIMEOUT, TestEntry.TIMEOUT, Duration.ofSeconds(1));

    private static Either<Problem, List<EditResult>> edit(MemoryLog log, TestEntry entry, String id, long against)
            throws InterruptedException {
        return new EditService(log, entry.keeper, Clock.systemUTC(), LIMITS)
                .apply(List.of(TestEntry.edit(id, against, 5)));
    }

    private static void assertAccepted(MemoryLog.AppendFault fault, int faults, long records) throws Exception {
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
    public void editWithLostAnswerIsAcceptedOnce() throws Exception {
        assertAccepted(MemoryLog.AppendFault.LOSE_ANSWER, 1, 2);
        assertAccepted(MemoryLog.AppendFault.LOSE_ANSWER, 6, 7);
    }

    @Test
    public void editWithLostRequestIsAppendedAgain() throws Exception {
        assertAccepted(MemoryLog.AppendFault.LOSE_REQUEST, 1, 1);
    }

    @Test
    public void repeatedRefusalIsReportedAsNotRun() throws Exception {
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
    public void editThatCannotBeReadBackIsReportedAsUnknown() throws Exception {
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
