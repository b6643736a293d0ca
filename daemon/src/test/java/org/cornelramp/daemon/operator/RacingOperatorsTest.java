package org.cornelramp.daemon.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.cornelramp.core.operate.EditResult;
import org.cornelramp.daemon.table.MemoryLog;
import org.cornelramp.daemon.table.TestEntry;
import org.testng.annotations.Test;

/**
 * Guards against a lost update when two operators edit the same version of a row at two entries at once: one edit is
 * accepted, the other is rejected and its result names the accepted one, and both entries hold the accepted values. The
 * test repeats the race because either edit can win.
 */
public class RacingOperatorsTest {
    private static final int ROUNDS = 30;

    private static EditResult edit(MemoryLog log, TestEntry entry, String id, long baseVersion, int weight)
            throws InterruptedException {
        return new EditService(log, entry.keeper, Clock.systemUTC(), EditLimits.DEFAULTS)
                .apply(List.of(TestEntry.edit(id, baseVersion, weight)))
                .get()
                .get(0);
    }

    private static List<EditResult> race(ExecutorService operators, MemoryLog log, List<TestEntry> entries, int round)
            throws Exception {
        long baseVersion = entries.get(0).keeper.folded().version(TestEntry.KEY);
        CountDownLatch both = new CountDownLatch(entries.size());
        List<Future<EditResult>> edits = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            int operator = i;
            edits.add(operators.submit(() -> {
                both.countDown();
                both.await();
                String id = "r" + round + "-" + operator;
                return edit(log, entries.get(operator), id, baseVersion, 1 + 2 * round + operator);
            }));
        }
        return List.of(edits.get(0).get(), edits.get(1).get());
    }

    @Test
    public void oneEditIsAcceptedAndTheOtherNamesTheWinner() throws Exception {
        MemoryLog log = new MemoryLog();
        ExecutorService operators = Executors.newFixedThreadPool(2);
        try (TestEntry first = new TestEntry(log, "e1").start();
                TestEntry second = new TestEntry(log, "e2").start()) {
            first.tableAt(0);
            for (int round = 0; round < ROUNDS; round++) {
                List<EditResult> results = race(operators, log, List.of(first, second), round);
                EditResult winner = results.get(results.get(0).kind() == EditResult.Kind.ACCEPTED ? 0 : 1);
                EditResult loser = results.get(results.get(0).kind() == EditResult.Kind.ACCEPTED ? 1 : 0);
                assertEquals(winner.kind(), EditResult.Kind.ACCEPTED);
                assertEquals(loser.kind(), EditResult.Kind.REJECTED);
                assertTrue(
                        loser.detail()
                                .contains("the edit at offset "
                                        + winner.offset().orElseThrow() + " by operator came first"),
                        loser.detail());
                assertEquals(loser.row(), winner.row());
                assertEquals(first.tableAt(log.size()), second.tableAt(log.size()));
                assertEquals(
                        first.keeper.folded().row(TestEntry.KEY).map(row -> row.values()),
                        winner.row().values());
            }
        } finally {
            operators.shutdownNow();
        }
    }
}
