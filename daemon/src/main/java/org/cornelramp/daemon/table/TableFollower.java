package org.cornelramp.daemon.table;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cornelramp.core.table.FoldedTable;
import org.cornelramp.core.table.LogBounds;
import org.cornelramp.core.table.LoggedRecord;
import org.cornelramp.core.table.SnapshotSchedule;
import org.cornelramp.core.table.TableReadState;
import org.cornelramp.core.table.TableRecords;
import org.cornelramp.core.table.TableSnapshotCodec;
import org.cornelramp.daemon.kernel.Component;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogPage;
import org.cornelramp.ports.LogStream;
import org.cornelramp.ports.PlatformException;

/**
 * Follows the table's stream on the log and brings each new table to the keeper; writes a snapshot when one is due.
 *
 * <p>All reading is done by this part's own thread, which may wait; {@link #status} may be called by any thread.
 * While the log is down the table in force stays in force, and a process without one takes a peer's.
 */
final class TableFollower implements Component {
    private static final System.Logger LOG = System.getLogger(TableFollower.class.getName());
    private static final int PAGE = 200;
    private static final long WAIT_MILLIS = 1_000;
    private static final long ANSWER_MILLIS = 5_000;
    private static final long FIRST_PAUSE_MILLIS = 100;
    private static final long MAX_PAUSE_MILLIS = 1_000;

    private final LogClient log;
    private final TableKeeper keeper;
    private final TableMeters meters;
    private final Clock clock;
    private final String process;
    private final Duration snapshotAge;
    private final Thread thread = new Thread(this::run, "table");
    private volatile boolean running = true;
    private volatile String trouble = "";
    private volatile TableReadState reading = TableReadState.start();
    private SnapshotSchedule plan = SnapshotSchedule.start();
    private long pauseMillis = FIRST_PAUSE_MILLIS;

    TableFollower(
            LogClient log, TableKeeper keeper, TableMeters meters, Clock clock, String process, Duration snapshotAge) {
        this.log = log;
        this.keeper = keeper;
        this.meters = meters;
        this.clock = clock;
        this.process = process;
        this.snapshotAge = snapshotAge;
    }

    @Override
    public String name() {
        return "table";
    }

    @Override
    public void start() {
        thread.start();
    }

    @Override
    public void stop() {
        running = false;
        thread.interrupt();
        try {
            thread.join(2_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Why the log does not help at the moment; empty if it does. */
    String trouble() {
        return trouble;
    }

    /** What operators see of the log. */
    ObjectNode status() {
        TableReadState now = reading;
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("reachable", trouble.isEmpty());
        node.put("trouble", trouble);
        node.put("reading", now.phase().name().toLowerCase(java.util.Locale.ROOT));
        node.put("offset", now.table().offset());
        node.put("oldest", now.bounds().oldest());
        now.newestSnapshot().ifPresent(mark -> node.put("snapshotCovers", mark.coveredOffset())
                .put("snapshotAt", mark.appendedAtMillis()));
        node.put("divergences", now.divergentSnapshots());
        return node;
    }

    private void run() {
        while (running) {
            try {
                follow();
                setTrouble(troubleOf(reading));
                pauseMillis = FIRST_PAUSE_MILLIS;
                if (reading.phase() == TableReadState.Phase.STUCK) {
                    pause();
                }
            } catch (InterruptedException e) {
                return;
            } catch (ExecutionException | TimeoutException | RuntimeException e) {
                meters.readFailed();
                setTrouble("the log cannot be read: " + (e.getCause() == null ? e : e.getCause()));
                pause();
            }
        }
    }

    private void follow() throws InterruptedException, ExecutionException, TimeoutException {
        TableReadState before = reading.onPeerTable(keeper.folded());
        TableReadState after = read(before);
        reading = after;
        check(before, after);
        // Older states, as seen while reading up to the end at the start, were in force once and are not now.
        if (after.isAtEnd() || keeper.isReady()) {
            keeper.take(after.table());
        }
        SnapshotSchedule.Decision step = plan.evaluate(after, snapshotAge, process, clock.instant());
        plan = step.schedule();
        if (step.write()) {
            writeSnapshot(after.table());
        }
    }

    private TableReadState read(TableReadState from) throws InterruptedException, ExecutionException, TimeoutException {
        long wait = from.isAtEnd() ? WAIT_MILLIS : 0;
        try {
            LogPage page = log.read(LogStream.TABLE, from.readFrom(), PAGE, wait)
                    .get(wait + ANSWER_MILLIS, TimeUnit.MILLISECONDS);
            return from.onPage(boundsOf(page), recordsOf(page));
        } catch (ExecutionException e) {
            if (e.getCause() instanceof PlatformException fault && fault.kind() == PlatformException.Kind.GONE) {
                return from.onRecordsGone(
                        boundsOf(log.bounds(LogStream.TABLE).get(ANSWER_MILLIS, TimeUnit.MILLISECONDS)));
            }
            throw e;
        }
    }

    /** Two folds of the same records that differ would put two tables in force, so it is checked where it can be. */
    private void check(TableReadState before, TableReadState after) {
        boolean moved = after.table().offset() > before.table().offset();
        if (after.divergentSnapshots() > before.divergentSnapshots() || (moved && keeper.differsFrom(after.table()))) {
            meters.diverged();
            LOG.log(
                    System.Logger.Level.ERROR,
                    "table: another process folded the same records to another table, run one version everywhere;"
                            + " offset=" + after.table().offset());
        }
    }

    private void writeSnapshot(FoldedTable table) {
        TableRecords.SnapshotRecord record =
                new TableRecords.SnapshotRecord(table.offset(), TableSnapshotCodec.write(table));
        CompletableFuture<Long> unused = log.append(
                        LogStream.TABLE, List.of(TableRecords.writeSnapshot(record, process)))
                .whenComplete((offset, failure) -> {
                    meters.snapshotWritten(failure == null);
                    // A lost answer needs no settling: the snapshot is read back, or the plan tries again.
                    LOG.log(
                            failure == null ? System.Logger.Level.INFO : System.Logger.Level.WARNING,
                            (failure == null ? "table: a snapshot was written" : "table: no word of a snapshot's end")
                                    + "; covers=" + table.offset() + " bytes=" + record.snapshot().length);
                });
    }

    private static LogBounds boundsOf(LogPage page) {
        return new LogBounds(page.oldest(), page.next());
    }

    private static List<LoggedRecord> recordsOf(LogPage page) {
        return page.records().stream()
                .map(record -> new LoggedRecord(record.offset(), record.at(), record.value()))
                .toList();
    }

    private static String troubleOf(TableReadState reading) {
        if (reading.phase() == TableReadState.Phase.STUCK) {
            return "the log lacks records from " + reading.table().offset()
                    + " on and holds no snapshot of them; a peer with a newer table helps";
        }
        if (reading.isLogBehind()) {
            return "the log ends at " + reading.bounds().next() + ", below the table in force at "
                    + reading.table().offset() + "; it was set back";
        }
        return "";
    }

    private void setTrouble(String now) {
        boolean changed = trouble.isEmpty() != now.isEmpty();
        trouble = now;
        if (changed) {
            LOG.log(
                    now.isEmpty() ? System.Logger.Level.INFO : System.Logger.Level.WARNING,
                    now.isEmpty()
                            ? "table: the log is followed again; offset="
                                    + reading.table().offset()
                            : "table: the table in force stays as it is; offset="
                                    + keeper.folded().offset() + " why=" + now);
        }
    }

    private void pause() {
        try {
            Thread.sleep(pauseMillis);
            pauseMillis = Math.min(MAX_PAUSE_MILLIS, pauseMillis * 2);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            running = false;
        }
    }
}
