package org.cornelramp.cli.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.cli.client.CallException;
import org.cornelramp.core.operate.EditAnswer;
import org.cornelramp.core.operate.EditDocument;
import org.cornelramp.core.operate.EditRequest;
import org.cornelramp.core.operate.EditResult;
import org.cornelramp.core.operate.HistoryDocument;
import org.cornelramp.core.operate.RowDocument;

/**
 * Sends edits, prints the result of each, and with {@code --wait} waits until every live process applies them. Confined
 * to one thread.
 *
 * <p>If an entry does not answer, it may have taken the edits. They are then looked up in the history under the id that
 * they were sent with, and never sent again under another id.
 */
final class EditSender {
    private static final int BATCH_SIZE = 200;
    private static final int MAX_HISTORY_READS = 5;
    private static final long HISTORY_READ_DELAY_MILLIS = 1_000;

    private final CommandContext context;

    EditSender(CommandContext context) {
        this.context = context;
    }

    /** Options of the commands that send edits. */
    static Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt("wait")
                        .desc("wait until every live process applies the edits")
                        .get())
                .addOption(Option.builder()
                        .longOpt("wait-seconds")
                        .hasArg()
                        .argName("N")
                        .desc("longest wait in seconds; default: 30")
                        .get());
    }

    /** Sends edits in batches, prints their results and returns the exit code of the command. */
    ExitCode send(List<EditDocument> edits, CommandLine line) throws CliException {
        List<EditResult> results = new ArrayList<>();
        long offset = 0;
        for (int from = 0; from < edits.size(); from += BATCH_SIZE) {
            List<EditDocument> batch = edits.subList(from, Math.min(edits.size(), from + BATCH_SIZE));
            EditAnswer answer = sendBatch(batch);
            results.addAll(answer.results());
            offset = Math.max(offset, answer.offset());
            if (edits.size() > BATCH_SIZE) {
                context.progress().println("edited " + results.size() + " of " + edits.size());
            }
        }
        printResults(new EditAnswer(offset, results));
        ExitCode code = exitCodeOf(results);
        boolean anyAccepted = results.stream().anyMatch(result -> result.kind() == EditResult.Kind.ACCEPTED);
        if (line.hasOption("wait") && anyAccepted) {
            ExitCode waited = new AppliedOffsetWait(context).await(offset, line);
            return code == ExitCode.DONE ? waited : code;
        }
        return code;
    }

    private EditAnswer sendBatch(List<EditDocument> batch) throws CliException {
        String id = UUID.randomUUID().toString();
        try {
            return context.entryClient()
                    .post("edits", new EditRequest(id, context.operatorName(), batch), EditAnswer.class);
        } catch (CallException e) {
            context.progress().println("no answer; reading the history: " + e.getMessage());
            List<EditResult> results = new ArrayList<>();
            for (int i = 0; i < batch.size(); i++) {
                results.add(resultFromHistory(batch.get(i), id + "-" + i));
            }
            return new EditAnswer(0, results);
        }
    }

    /** Looks an edit up in the history several times, because one that is still in progress appears there late. */
    private EditResult resultFromHistory(EditDocument edit, String id) throws CliException {
        Optional<EditResult> found = Optional.empty();
        for (int i = 0; i < MAX_HISTORY_READS && found.isEmpty(); i++) {
            pauseBeforeRead(i);
            try {
                found = findEdit(
                        context.entryClient().get("history/" + Rows.urlPath(edit.key()), HistoryDocument.class), id);
            } catch (CliException e) {
                context.progress().println(e.getMessage());
            }
        }
        return found.orElseGet(() -> new EditResult(
                EditResult.Kind.UNKNOWN,
                id,
                new RowDocument(edit.organisation(), edit.service(), edit.against(), Optional.empty()),
                Optional.empty(),
                "No entry answered; table history shows later whether edit " + id + " was accepted."));
    }

    private static Optional<EditResult> findEdit(HistoryDocument history, String id) {
        return history.edits().stream()
                .filter(edit -> edit.id().equals(id))
                .findFirst()
                .map(edit -> new EditResult(
                        edit.accepted() ? EditResult.Kind.ACCEPTED : EditResult.Kind.REJECTED,
                        id,
                        history.row(),
                        Optional.of(edit.offset()),
                        edit.accepted()
                                ? ""
                                : "Another edit came first; read the row again and edit its current version."));
    }

    private static void pauseBeforeRead(int attempt) throws CliException {
        try {
            Thread.sleep(attempt == 0 ? 0 : HISTORY_READ_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException(ExitCode.UNKNOWN, "interrupted; table history shows which edits were accepted");
        }
    }

    private void printResults(EditAnswer answer) {
        if (context.json()) {
            context.printJson(answer);
            return;
        }
        for (EditResult result : answer.results()) {
            String offset = result.offset().map(value -> " offset=" + value).orElse("");
            String detail = result.detail().isEmpty() ? "" : " " + result.detail();
            context.out()
                    .println(result.kind().name().toLowerCase(java.util.Locale.ROOT) + " "
                            + result.row().key() + " version=" + result.row().version() + offset + detail);
        }
    }

    private static ExitCode exitCodeOf(List<EditResult> results) {
        if (results.stream().anyMatch(result -> result.kind() == EditResult.Kind.UNKNOWN)) {
            return ExitCode.UNKNOWN;
        }
        boolean rejected = results.stream().anyMatch(result -> result.kind() == EditResult.Kind.REJECTED);
        return rejected ? ExitCode.REJECTED : ExitCode.DONE;
    }
}
