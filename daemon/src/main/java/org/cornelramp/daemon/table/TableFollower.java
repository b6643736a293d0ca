package org.cornelramp.daemon.table;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cornelramp.core.table.FoldedTable;
import org.cornelramp.core.table.TableFold;
import org.cornelramp.daemon.kernel.Component;
import org.cornelramp.platform.LogClient;
import org.cornelramp.platform.LogPage;
import org.cornelramp.platform.LogRecord;
import org.cornelramp.platform.LogStream;

/** Follows the table stream of the log on its own thread and brings each new table to the keeper. */
final class TableFollower implements Component {
    private static final System.Logger LOG = System.getLogger(TableFollower.class.getName());
    private static final int PAGE = 1_000;
    private static final long WAIT_MILLIS = 1_000;
    private static final long GRACE_MILLIS = 2_000;
    private static final long PAUSE_MILLIS = 200;

    private final LogClient log;
    private final TableKeeper keeper;
    private final Thread thread = new Thread(this::run, "table");
    private volatile boolean running = true;
    private boolean failing;

    TableFollower(LogClient log, TableKeeper keeper) {
        this.log = log;
        this.keeper = keeper;
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

    private void run() {
        while (running) {
            try {
                follow();
                failing = false;
            } catch (InterruptedException e) {
                return;
            } catch (ExecutionException | TimeoutException | RuntimeException e) {
                pauseAfter(e);
            }
        }
    }

    private void follow() throws InterruptedException, ExecutionException, TimeoutException {
        FoldedTable table = keeper.folded();
        long wait = keeper.isReady() ? WAIT_MILLIS : 0;
        LogPage page =
                log.read(LogStream.TABLE, table.offset(), PAGE, wait).get(wait + GRACE_MILLIS, TimeUnit.MILLISECONDS);
        for (LogRecord record : page.records()) {
            table = TableFold.apply(table, record.offset(), record.value()).table();
        }
        // A table is told only once the end of the log is reached: at the start, older ones are not in force.
        if (table.offset() >= page.next() || keeper.isReady()) {
            keeper.take(table);
        }
    }

    private void pauseAfter(Exception e) {
        if (!failing) {
            LOG.log(System.Logger.Level.WARNING, "table: the log cannot be read, trying again; why=" + e);
            failing = true;
        }
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            running = false;
        }
    }
}
