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
 * Appends edits to the log and tells what became of them, by reading them back.
 *
 * <p>An append whose answer is lost is made again: an edit is accepted against one version only, so the second
 * record of it changes nothing if the first took effect. Only an append that was refused each time is said not to
 * have run. Waits for the log; confined to the operators' duty.
 */
final class EditService {
    private static final long MAX_RACE = 1_000;
    private static final int REFUSALS = 4;
    private static final long PAUSE_MILLIS = 200;
    private static final long MAX_PAUSE_MILLIS = 2_000;

    private final LogClient log;
    private final LogBack back;
    private final TableKeeper keeper;
    private final Clock clock;
    private final EditLimits limits;

    EditService(LogClient log, TableKeeper keeper, Clock clock, EditLimits limits) {
        this.limits = limits;
        this.log = log;
        this.back = new LogBack(log);
        this.keeper = keeper;
        this.clock = clock;
    }

    /** Appends edits of different rows and gives one result for each, or says that none was appended. */
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
        return Either.right(settle(table, edits, first, start));
    }

    /** The answer to an edit against a version that is in force no more; it names the winner if the log tells it. */
    EditResult lost(FoldedTable table, TableEdit edit) throws InterruptedException {
        long start = startOfRace(table.offset(), edit.baseVersion());
        return EditResultResolver.staleVersion(
                table, edit, back.read(start, table.offset()).orElse(List.of()));
    }

    /** The records since the edits were appended, and those that they may have lost to where the log keeps them. */
    private Optional<List<LoggedRecord>> readBack(List<TableEdit> edits, long start, long end)
            throws InterruptedException {
        long early = edits.stream().mapToLong(TableEdit::baseVersion).reduce(start, this::startOfRace);
        Optional<List<LoggedRecord>> records = back.read(early, end);
        return records.isPresent() || early == start ? records : back.read(start, end);
    }

    /** Where the record that won against a version may be, unless that is too far back to read for a message. */
    private long startOfRace(long offset, long against) {
        return offset - against <= MAX_RACE ? Math.min(offset, against + 1) : offset;
    }

    /** The offset of the first record; empty if it may have been appended and no answer came. */
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
                fault = faultOf(e);
            }
            boolean refused =
                    fault.kind() == PlatformException.Kind.REFUSED || fault.kind() == PlatformException.Kind.NOT_SENT;
            lost |= !refused;
            refusals++;
            if (!lost && refusals >= REFUSALS) {
                return Either.left(Problem.notRun(
                        ProblemKind.EDIT_NOT_TAKEN,
                        "The log took no record, so nothing was changed: " + fault.getMessage()));
            }
            if (!clock.instant().isBefore(limit)) {
                return Either.right(Optional.empty());
            }
            Thread.sleep(Math.min(MAX_PAUSE_MILLIS, Math.max(PAUSE_MILLIS, fault.retryAfterMillis())));
        }
    }

    /** Whatever is not known to be a refusal may have taken effect. */
    private static PlatformException faultOf(Exception e) {
        return e.getCause() instanceof PlatformException fault
                ? fault
                : new PlatformException(PlatformException.Kind.ANSWER_LOST, "No answer from the log: " + e, 0);
    }

    private long endOfLog() throws InterruptedException {
        return back.bounds().map(bounds -> bounds.next()).orElse(0L);
    }

    private List<EditResult> settle(FoldedTable table, List<TableEdit> edits, Optional<Long> first, long start)
            throws InterruptedException {
        Optional<List<LoggedRecord>> since = Optional.empty();
        List<EditResult> results = new ArrayList<>();
        for (int i = 0; i < edits.size(); i++) {
            TableEdit edit = edits.get(i);
            int at = i;
            Optional<Long> offset = first.map(one -> one + at);
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
