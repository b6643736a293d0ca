package org.cornelramp.daemon.operator;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.operate.RowDocument;
import org.cornelramp.core.operate.TableDocument;
import org.cornelramp.core.table.FoldedTable;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.daemon.table.TableKeeper;

/** Returns the table in force, or one row of it. Safe for use by any thread. */
final class TableEndpoint implements Endpoint {
    private static final int ROW_SEGMENTS = 2;

    private final TableKeeper keeper;

    TableEndpoint(TableKeeper keeper) {
        this.keeper = keeper;
    }

    @Override
    public Either<Problem, Object> answer(OperatorCall call) {
        FoldedTable table = keeper.folded();
        if (!keeper.isReady()) {
            return Either.left(
                    Problem.notRun(ProblemKind.NOT_READY, "This entry has no table yet; retry when it is ready."));
        }
        if (call.pathSegments().isEmpty()) {
            List<RowDocument> rows = table.rows().stream().map(RowDocument::of).toList();
            return Either.right(new TableDocument(table.offset(), rows));
        }
        return key(call.pathSegments()).map(key -> RowDocument.of(table, key));
    }

    /** Returns the key of the row that a path names. */
    static Either<Problem, RowKey> key(List<String> pathSegments) {
        Optional<RowKey> key = Optional.empty();
        if (pathSegments.size() == ROW_SEGMENTS) {
            try {
                key = Optional.of(
                        new RowKey(new OrganisationId(pathSegments.get(0)), new ServiceName(pathSegments.get(1))));
            } catch (IllegalArgumentException e) {
                return Either.left(Problem.notRun(ProblemKind.MALFORMED_REQUEST, e.getMessage()));
            }
        }
        return key.<Either<Problem, RowKey>>map(Either::right)
                .orElseGet(() -> Either.left(
                        Problem.notRun(ProblemKind.NOT_FOUND, "The path of a row is ORGANISATION/SERVICE.")));
    }
}
