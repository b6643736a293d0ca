package org.cornelramp.daemon.operator;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.operate.HistoryDocument;
import org.cornelramp.core.operate.RowDocument;
import org.cornelramp.core.table.FoldedTable;
import org.cornelramp.core.table.LogBounds;
import org.cornelramp.core.table.LoggedRecord;
import org.cornelramp.core.table.RowHistory;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.daemon.table.TableKeeper;

/** Returns the edits of a row that the log still holds. Confined to the operators' event loop. */
final class HistoryEndpoint implements Endpoint {
    private final TableKeeper keeper;
    private final TableLogReader logReader;

    HistoryEndpoint(TableKeeper keeper, TableLogReader logReader) {
        this.keeper = keeper;
        this.logReader = logReader;
    }

    @Override
    public Either<Problem, Object> answer(OperatorCall call) throws InterruptedException {
        Either<Problem, RowKey> key = TableEndpoint.key(call.pathSegments());
        if (key.isLeft()) {
            return Either.left(key.getLeft());
        }
        Optional<LogBounds> bounds = logReader.bounds();
        FoldedTable table = keeper.folded();
        Optional<List<LoggedRecord>> records =
                bounds.isPresent() ? logReader.read(bounds.get().oldest(), table.offset()) : Optional.empty();
        if (records.isEmpty()) {
            return Either.left(Problem.notRun(
                    ProblemKind.LOG_UNAVAILABLE,
                    "The history is stored on the log, which cannot be read now; retry later."));
        }
        RowHistory history = RowHistory.of(table, key.get(), records.get());
        return Either.right(new HistoryDocument(
                RowDocument.of(table, key.get()),
                bounds.get().oldest(),
                history.edits().stream().map(entry -> edit(history, entry)).toList()));
    }

    private static HistoryDocument.HistoryEdit edit(RowHistory history, RowHistory.LoggedEdit entry) {
        return new HistoryDocument.HistoryEdit(
                entry.offset(),
                entry.appendedAtMillis(),
                entry.edit().id(),
                entry.edit().author(),
                entry.edit().baseVersion(),
                history.isAccepted(entry.offset()),
                entry.edit().values());
    }
}
