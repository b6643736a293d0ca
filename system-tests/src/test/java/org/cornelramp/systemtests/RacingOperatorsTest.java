package org.cornelramp.systemtests;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.fleet.Member;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Two operators edit the same row at two entries concurrently, each with the version that both have read.
 *
 * <p>Guards against a lost update. The log orders the two records; every reader accepts the first and rejects the
 * second. One operator gets "accepted" and the other "rejected", and every entry keeps the accepted value.
 */
public class RacingOperatorsTest {
    private static final int ROUNDS = 10;

    private Fleet fleet;

    @BeforeClass
    public void start() {
        fleet = Fleet.start(FleetActions.checkoutRoot(), FleetPlan.small().withStages(List.of()));
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @Test
    public void oneIsAcceptedAndTheOtherRejected() {
        Member one = fleet.entries().get(0);
        Member other = fleet.entries().get(1);
        for (int i = 0; i < ROUNDS; i++) {
            int weight = 100 + 2 * i;
            long expectedVersion = TableEdits.row(fleet, one).path("version").asLong();
            CompletableFuture<String> first =
                    CompletableFuture.supplyAsync(() -> TableEdits.editWeight(fleet, one, expectedVersion, weight));
            CompletableFuture<String> second = CompletableFuture.supplyAsync(
                    () -> TableEdits.editWeight(fleet, other, expectedVersion, weight + 1));
            List<String> kinds = List.of(first.join(), second.join());
            assertEquals(kinds.stream().sorted().toList(), List.of("accepted", "rejected"));
            int accepted = kinds.get(0).equals("accepted") ? weight : weight + 1;
            for (Member entry : fleet.entries()) {
                Fleet.await(
                        "the accepted edit is visible",
                        FleetActions.AWAIT_TIMEOUT,
                        () -> TableEdits.weight(fleet, entry) == accepted);
            }
        }
    }
}
