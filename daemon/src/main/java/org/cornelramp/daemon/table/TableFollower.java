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
 * Reads the table's stream on the log, passes each new table to the {@link TableKeeper}, and writes a snapshot when one
 * is due.
 *
 * <p>The log is read only by this component's own thread, which may block; {@link #status} and {@link #logFault} may be
 * called by any thread. While the log is unavailable the table in force stays in force, and a process without a table
 * uses that of a peer.
 */
final class TableFollower implements Component {
    private static final System.Logger LOG = System.getLogger(TableFollower.class.getName());
    private static final int PAGE_RECORDS = 200;
    private static final long LONG_POLL_MILLIS = 1_000;
    private static final long ANSWER_TIMEOUT_MILLIS = 5_000;
    private static final long INITIAL_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 1_000;

    private final LogClient log;
    private final TableKeeper keeper;
    private final TableMeters meters;
    private final Clock clock;
    private final String processName;
    private final Duration snapshotAge;
    private final Thread thread = new Thread(this::run, "table");
    private volatile boolean running = true;
    private volatile String logFault = "";
    private volatile TableReadState readState = TableReadState.start();
    private SnapshotSchedule snapshotSchedule = SnapshotSchedule.start();
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;

    TableFollower(
            LogClient log,
            TableKeeper keeper,
            TableMeters meters,
            Clock clock,
            String processName,
            Duration snapshotAge) {
        this.log = log;
        this.keeper = keeper;
        this.meters = meters;
        this.clock = clock;
        this.processName = processName;
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

    /** Returns why the log cannot be followed at present; empty if it can. */
    String logFault() {
        return logFault;
    }

    /** Returns the state of the log for the status document. */
    ObjectNode status() {
        TableReadState current = readState;
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("reachable", logFault.isEmpty());
        node.put("trouble", logFault);
        node.put("reading", current.phase().name().toLowerCase(java.util.Locale.ROOT));
        node.put("offset", current.table().offset());
        node.put("oldest", current.bounds().oldest());
        current.newestSnapshot().ifPresent(mark -> node.put("snapshotCovers", mark.coveredOffset())
                .put("snapshotAt", mark.appendedAtMillis()));
        node.put("divergences", current.divergentSnapshots());
        return node;
    }

    private void run() {
        while (running) {
            try {
                follow();
                setLogFault(describeFault(readState));
                backoffMillis = INITIAL_BACKOFF_MILLIS;
                if (readState.phase() == TableReadState.Phase.STUCK) {
                    backOff();
                }
            } catch (InterruptedException e) {
                return;
            } catch (ExecutionException | TimeoutException | RuntimeException e) {
                meters.readFailed();
                setLogFault("the log cannot be read: " + (e.getCause() == null ? e : e.getCause()));
                backOff();
            }
        }
    }

    private void follow() throws InterruptedException, ExecutionException, TimeoutException {
        TableReadState before = readState.onPeerTable(keeper.folded());
        TableReadState after = read(before);
        readState = after;
        reportDivergence(before, after);
        // States from before the end of the log, as read during the start, are no longer in force.
        if (after.isAtEnd() || keeper.isReady()) {
            keeper.replaceIfNewer(after.table());
        }
        SnapshotSchedule.Decision step = snapshotSchedule.evaluate(after, snapshotAge, processName, clock.instant());
        snapshotSchedule = step.schedule();
        if (step.write()) {
            writeSnapshot(after.table());
        }
    }

    private TableReadState read(TableReadState state)
            throws InterruptedException, ExecutionException, TimeoutException {
        long wait = state.isAtEnd() ? LONG_POLL_MILLIS : 0;
        try {
            LogPage page = log.read(LogStream.TABLE, state.readFrom(), PAGE_RECORDS, wait)
                    .get(wait + ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            return state.onPage(boundsOf(page), recordsOf(page));
        } catch (ExecutionException e) {
            if (e.getCause() instanceof PlatformException fault && fault.kind() == PlatformException.Kind.GONE) {
                return state.onRecordsGone(
                        boundsOf(log.bounds(LogStream.TABLE).get(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)));
            }
            throw e;
        }
    }

    /**
     * Reports two different folds of the same records. They would put two different tables in force, so they are
     * compared wherever possible.
     */
    private void reportDivergence(TableReadState before, TableReadState after) {
        boolean moved = after.table().offset() > before.table().offset();
        if (after.divergentSnapshots() > before.divergentSnapshots() || (moved && keeper.differsFrom(after.table()))) {
            meters.divergenceDetected();
            LOG.log(
                    System.Logger.Level.ERROR,
                    "table: another process computed a different table from the same records, run one version everywhere;"
                            + " offset=" + after.table().offset());
        }
    }

    private void writeSnapshot(FoldedTable table) {
        TableRecords.SnapshotRecord record =
                new TableRecords.SnapshotRecord(table.offset(), TableSnapshotCodec.write(table));
        CompletableFuture<Long> unused = log.append(
                        LogStream.TABLE, List.of(TableRecords.writeSnapshot(record, processName)))
                .whenComplete((offset, failure) -> {
                    meters.snapshotWritten(failure == null);
                    // A lost answer needs no handling: the snapshot is read back from the log, or the plan writes
                    // another.
                    LOG.log(
                            failure == null ? System.Logger.Level.INFO : System.Logger.Level.WARNING,
                            (failure == null
                                            ? "table: a snapshot was written"
                                            : "table: the append of a snapshot failed or got no answer")
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

    private static String describeFault(TableReadState state) {
        if (state.phase() == TableReadState.Phase.STUCK) {
            return "the log no longer holds the records from " + state.table().offset()
                    + " on and has no snapshot that covers them; a peer with a newer table can supply them";
        }
        if (state.isLogBehind()) {
            return "the log ends at " + state.bounds().next() + ", below the offset of the table in force, "
                    + state.table().offset() + "; it was reset to an earlier state";
        }
        return "";
    }

    private void setLogFault(String newFault) {
        boolean changed = logFault.isEmpty() != newFault.isEmpty();
        logFault = newFault;
        if (changed) {
            LOG.log(
                    newFault.isEmpty() ? System.Logger.Level.INFO : System.Logger.Level.WARNING,
                    newFault.isEmpty()
                            ? "table: the log can be followed again; offset="
                                    + readState.table().offset()
                            : "table: the log cannot be followed, the table in force is kept; offset="
                                    + keeper.folded().offset() + " why=" + newFault);
        }
    }

    private void backOff() {
        try {
            Thread.sleep(backoffMillis);
            backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            running = false;
        }
    }
}
