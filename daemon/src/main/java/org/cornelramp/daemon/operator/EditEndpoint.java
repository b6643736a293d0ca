package org.cornelramp.daemon.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cornelramp.core.model.NameValidator;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.operate.EditAnswer;
import org.cornelramp.core.operate.EditDocument;
import org.cornelramp.core.operate.EditRequest;
import org.cornelramp.core.operate.EditResult;
import org.cornelramp.core.operate.EditResultResolver;
import org.cornelramp.core.operate.OperatorJson;
import org.cornelramp.core.table.ColumnFault;
import org.cornelramp.core.table.FoldedTable;
import org.cornelramp.core.table.RecordOutcome;
import org.cornelramp.core.table.RowChecks;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.core.table.TableEdit;
import org.cornelramp.core.table.TableFold;
import org.cornelramp.daemon.table.TableKeeper;

/**
 * Validates edits, submits those that may be accepted, and returns a result for each. Confined to the operators' event
 * loop.
 */
final class EditEndpoint implements Endpoint {
    private static final int MAX_NAME_CHARS = 100;

    private final TableKeeper keeper;
    private final EditService service;

    EditEndpoint(TableKeeper keeper, EditService service) {
        this.keeper = keeper;
        this.service = service;
    }

    @Override
    public Either<Problem, Object> answer(OperatorCall call) throws InterruptedException {
        Either<Problem, EditRequest> request = read(call.body());
        if (request.isLeft()) {
            return Either.left(request.getLeft());
        }
        if (!keeper.isReady()) {
            return Either.left(
                    Problem.notRun(ProblemKind.NOT_READY, "This entry has no table yet; retry when it is ready."));
        }
        return apply(request.get());
    }

    private static Either<Problem, EditRequest> read(String body) {
        try {
            EditRequest request = OperatorJson.STRICT.readValue(body, EditRequest.class);
            return validate(request)
                    .<Either<Problem, EditRequest>>map(
                            detail -> Either.left(Problem.notRun(ProblemKind.MALFORMED_REQUEST, detail)))
                    .orElseGet(() -> Either.right(request));
        } catch (JsonMappingException e) {
            return Either.left(
                    Problem.notRun(ProblemKind.MALFORMED_REQUEST, jsonPath(e) + ": " + e.getOriginalMessage()));
        } catch (JsonProcessingException e) {
            return Either.left(Problem.notRun(
                    ProblemKind.MALFORMED_REQUEST, "The body is not valid JSON: " + e.getOriginalMessage()));
        }
    }

    private static String jsonPath(JsonMappingException e) {
        return e.getPath().stream()
                .map(part -> part.getFieldName() == null ? "[" + part.getIndex() + "]" : "/" + part.getFieldName())
                .collect(Collectors.joining());
    }

    private static Optional<String> validate(EditRequest request) {
        if (request == null || request.edits().isEmpty() || request.edits().size() > EditRequest.MAX_EDITS) {
            return Optional.of("Send 1 to " + EditRequest.MAX_EDITS + " edits.");
        }
        if (!NameValidator.isValid(request.id())) {
            return Optional.of("Set the field id to a valid name that is unique to this request, such as a UUID.");
        }
        if (request.by().isBlank() || request.by().length() > MAX_NAME_CHARS) {
            return Optional.of(
                    "Set the field by to the name of the editor, in 1 to " + MAX_NAME_CHARS + " characters.");
        }
        Set<RowKey> keys = new HashSet<>();
        for (int i = 0; i < request.edits().size(); i++) {
            EditDocument edit = request.edits().get(i);
            String place = "edits[" + i + "] of " + edit.key() + ": ";
            if (!keys.add(edit.key())) {
                return Optional.of(place + "Edit each row at most once in a request.");
            }
            List<ColumnFault> faults = edit.values().map(RowChecks::validate).orElse(List.of());
            if (!faults.isEmpty()) {
                return Optional.of(place
                        + String.join(
                                " ", faults.stream().map(ColumnFault::toString).toList()));
            }
        }
        return Optional.empty();
    }

    private Either<Problem, Object> apply(EditRequest request) throws InterruptedException {
        FoldedTable table = keeper.folded();
        List<TableEdit> submitted = new ArrayList<>();
        EditResult[] results = new EditResult[request.edits().size()];
        List<Integer> indexes = new ArrayList<>();
        for (int i = 0; i < results.length; i++) {
            EditDocument document = request.edits().get(i);
            TableEdit edit = new TableEdit(
                    request.id() + "-" + i, document.key(), document.against(), document.values(), request.by());
            Optional<RecordOutcome> verdict = rejection(table, edit);
            if (verdict.isPresent()) {
                results[i] = EditResultResolver.rejected(
                        table, edit, Optional.empty(), verdict.get().detail());
            } else {
                submitted.add(edit);
                indexes.add(i);
            }
        }
        if (!submitted.isEmpty()) {
            Either<Problem, List<EditResult>> applied = service.apply(submitted);
            if (applied.isLeft()) {
                return Either.left(applied.getLeft());
            }
            for (int i = 0; i < indexes.size(); i++) {
                results[indexes.get(i)] = applied.get().get(i);
            }
        }
        return Either.right(new EditAnswer(keeper.folded().offset(), List.of(results)));
    }

    /**
     * Rejects an edit at once if it cannot be accepted any more: versions only grow, so an edit against a lower version
     * can never be accepted. An edit against a higher version is submitted, because this entry may not have read that
     * version yet.
     */
    private static Optional<RecordOutcome> rejection(FoldedTable table, TableEdit edit) {
        return edit.baseVersion() > table.version(edit.key()) ? Optional.empty() : TableFold.findRejection(table, edit);
    }
}
