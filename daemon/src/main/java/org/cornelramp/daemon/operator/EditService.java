package org.cornelramp.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.Clock;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.operate.EditResult;
import org.cornelramp.core.operate.EditResultResolver;
import org.cornelramp.core.table.FoldedTable;
import org.cornelramp.core.table.LoggedRecord;
import org.cornelramp.core.table.TableEdit;
import org.cornelramp.core.table.TableRecords;
import org.cornelramp.daemon.table.TableKeeper;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogStream;
import org.cornelramp.ports.PlatformException;

/**
 * Appends edits to the log and determines their results by reading them back.
 *
 * <p>An append whose answer is lost is repeated. This is safe because an edit is accepted against one version only, so
 * a second record of it has no effect if the first took effect. An append is reported as not run only if every attempt
 * was refused. Waits for the log; confined to the operators' event loop.
 */
final class EditService {
    private static final long MAX_CONFLICT_DISTANCE = 1_000;
    private static final int MAX_REFUSALS = 4;
    private static final long PAUSE_MILLIS = 200;
    private static final long MAX_PAUSE_MILLIS = 2_000;

    private final LogClient log;
    private final TableLogReader logReader;
    private final TableKeeper keeper;
    private final Clock clock;
    private final EditLimits limits;

    EditService(LogClient log, TableKeeper keeper, Clock clock, EditLimits limits) {
        this.limits = limits;
        this.log = log;
        this.logReader = new TableLogReader(log);
        this.keeper = keeper;
        this.clock = clock;
    }

    /** Appends edits of different rows and returns one result for each, or a problem if none was appended. */
    Either<Problem, List<EditResult>> apply(List<TableEdit> edits) throws InterruptedException {
        long start = keeper.folded().offset();
        List<JsonNode> records =
                edits.stream().<JsonNode>map(TableRecords::writeEdit).toList();
        Either<Problem, Optional<Long>> appended = append(records);
        if (appended.isLeft()) {
            return Either.left(appended.getLeft());
        }
        Optional<Long> first = appended.get();
        FoldedTable table = first.isPresent()
                ? keeper.await(first.get() + edits.size(), limits.readBack())
                : keeper.await(endOfLog(), limits.readBack());
        return Either.right(resolveResults(table, edits, first, start));
    }

    /**
     * Returns the result of an edit against a version that is no longer in force; it names the edit that was accepted
     * instead if that is still on the log.
     */
    EditResult staleVersionResult(FoldedTable table, TableEdit edit) throws InterruptedException {
        long start = conflictStart(table.offset(), edit.baseVersion());
        return EditResultResolver.staleVersion(
                table, edit, logReader.read(start, table.offset()).orElse(List.of()));
    }

    /**
     * Returns the records since the edits were appended and, if the log still holds them, the earlier records that may
     * conflict with the edits.
     */
    private Optional<List<LoggedRecord>> readBack(List<TableEdit> edits, long start, long end)
            throws InterruptedException {
        long early = edits.stream().mapToLong(TableEdit::baseVersion).reduce(start, this::conflictStart);
        Optional<List<LoggedRecord>> records = logReader.read(early, end);
        return records.isPresent() || early == start ? records : logReader.read(start, end);
    }

    /**
     * Returns the first offset at which an edit that replaced version {@code baseVersion} can be. Returns
     * {@code offset} if that is more than {@link #MAX_CONFLICT_DISTANCE} records back, too many to read for an error
     * message.
     */
    private long conflictStart(long offset, long baseVersion) {
        return offset - baseVersion <= MAX_CONFLICT_DISTANCE ? Math.min(offset, baseVersion + 1) : offset;
    }

    /**
     * Appends the records. Returns the offset of the first, or empty if they may have been appended but no answer came.
     */
    private Either<Problem, Optional<Long>> append(List<JsonNode> records) throws InterruptedException {
        Instant limit = clock.instant().plus(limits.append());
        boolean lost = false;
        int refusals = 0;
        while (true) {
            PlatformException fault;
            try {
                return Either.right(Optional.of(
                        log.append(LogStream.TABLE, records).get(limits.answer().toMillis(), TimeUnit.MILLISECONDS)));
            } catch (ExecutionException | TimeoutException e) {
                fault = failureOf(e);
            }
            boolean refused =
                    fault.kind() == PlatformException.Kind.REFUSED || fault.kind() == PlatformException.Kind.NOT_SENT;
            lost |= !refused;
            refusals++;
            if (!lost && refusals >= MAX_REFUSALS) {
                return Either.left(Problem.notRun(
                        ProblemKind.EDIT_NOT_TAKEN,
                        "The log refused every append, so nothing was changed: " + fault.getMessage()));
            }
            if (!clock.instant().isBefore(limit)) {
                return Either.right(Optional.empty());
            }
            Thread.sleep(Math.min(MAX_PAUSE_MILLIS, Math.max(PAUSE_MILLIS, fault.retryAfterMillis())));
        }
    }

    /**
     * Any failure that is not known to be a refusal counts as a lost answer, because the append may have taken effect.
     */
    private static PlatformException failureOf(Exception e) {
        return e.getCause() instanceof PlatformException fault
                ? fault
                : new PlatformException(PlatformException.Kind.ANSWER_LOST, "No answer from the log: " + e, 0);
    }

    private long endOfLog() throws InterruptedException {
        return logReader.bounds().map(bounds -> bounds.next()).orElse(0L);
    }

    private List<EditResult> resolveResults(FoldedTable table, List<TableEdit> edits, Optional<Long> first, long start)
            throws InterruptedException {
        Optional<List<LoggedRecord>> since = Optional.empty();
        List<EditResult> results = new ArrayList<>();
        for (int i = 0; i < edits.size(); i++) {
            TableEdit edit = edits.get(i);
            int index = i;
            Optional<Long> offset = first.map(firstOffset -> firstOffset + index);
            if (offset.isPresent() && table.version(edit.key()) == offset.get()) {
                results.add(EditResultResolver.accepted(table, edit, offset.get()));
                continue;
            }
            if (since.isEmpty()) {
                since = readBack(edits, start, table.offset());
            }
            results.add(since.map(records -> EditResultResolver.resolve(table, edit, records))
                    .orElseGet(() -> EditResultResolver.unknown(table, edit, offset)));
        }
        return results;
    }
}
