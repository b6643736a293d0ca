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
import org.cornelramp.cli.client.CallFailure;
import org.cornelramp.core.operate.EditAnswer;
import org.cornelramp.core.operate.EditDocument;
import org.cornelramp.core.operate.EditRequest;
import org.cornelramp.core.operate.EditResult;
import org.cornelramp.core.operate.HistoryDocument;
import org.cornelramp.core.operate.RowDocument;

/**
 * Sends edits, tells what became of each, and waits on request until they are applied everywhere. Confined to one
 * thread.
 *
 * <p>When an entry ends before it has answered, the edits are looked for in the history under the id that they were
 * sent with; they are never sent again under another.
 */
final class Edits {
    private static final int BATCH = 200;
    private static final int HISTORY_TRIES = 5;
    private static final long PAUSE_MILLIS = 1_000;

    private final Context context;

    Edits(Context context) {
        this.context = context;
    }

    /** Options of the commands that edit. */
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
                        .desc("longest wait, 30 if not given")
                        .get());
    }

    /** Sends edits in batches and ends as {@link ExitCode} says. */
    ExitCode send(List<EditDocument> edits, CommandLine line) throws CliException {
        List<EditResult> results = new ArrayList<>();
        long offset = 0;
        for (int from = 0; from < edits.size(); from += BATCH) {
            List<EditDocument> batch = edits.subList(from, Math.min(edits.size(), from + BATCH));
            EditAnswer answer = sendBatch(batch);
            results.addAll(answer.results());
            offset = Math.max(offset, answer.offset());
            if (edits.size() > BATCH) {
                context.progress().println("edited " + results.size() + " of " + edits.size());
            }
        }
        report(new EditAnswer(offset, results));
        ExitCode code = codeOf(results);
        boolean anyAccepted = results.stream().anyMatch(result -> result.kind() == EditResult.Kind.ACCEPTED);
        if (line.hasOption("wait") && anyAccepted) {
            ExitCode waited = new AppliedWait(context).await(offset, line);
            return code == ExitCode.DONE ? waited : code;
        }
        return code;
    }

    private EditAnswer sendBatch(List<EditDocument> batch) throws CliException {
        String id = UUID.randomUUID().toString();
        try {
            return context.entries().post("edits", new EditRequest(id, context.by(), batch), EditAnswer.class);
        } catch (CallFailure e) {
            context.progress().println("no answer, reading back: " + e.getMessage());
            List<EditResult> results = new ArrayList<>();
            for (int i = 0; i < batch.size(); i++) {
                results.add(readBack(batch.get(i), id + "-" + i));
            }
            return new EditAnswer(0, results);
        }
    }

    /** An edit that shows late may still be under way, so it is looked for a few times. */
    private EditResult readBack(EditDocument edit, String id) throws CliException {
        Optional<EditResult> found = Optional.empty();
        for (int i = 0; i < HISTORY_TRIES && found.isEmpty(); i++) {
            pause(i);
            try {
                found = find(context.entries().get("history/" + Rows.path(edit.key()), HistoryDocument.class), id);
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

    private static Optional<EditResult> find(HistoryDocument history, String id) {
        return history.edits().stream()
                .filter(edit -> edit.id().equals(id))
                .findFirst()
                .map(edit -> new EditResult(
                        edit.accepted() ? EditResult.Kind.ACCEPTED : EditResult.Kind.REJECTED,
                        id,
                        history.row(),
                        Optional.of(edit.offset()),
                        edit.accepted() ? "" : "Another edit came first; read the row again and edit that."));
    }

    private static void pause(int tries) throws CliException {
        try {
            Thread.sleep(tries == 0 ? 0 : PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException(ExitCode.UNKNOWN, "interrupted; table history shows what became of the edits");
        }
    }

    private void report(EditAnswer answer) {
        if (context.json()) {
            context.printJson(answer);
            return;
        }
        for (EditResult result : answer.results()) {
            String offset = result.offset().map(at -> " offset=" + at).orElse("");
            String detail = result.detail().isEmpty() ? "" : " " + result.detail();
            context.out()
                    .println(result.kind().name().toLowerCase(java.util.Locale.ROOT) + " "
                            + result.row().key() + " version=" + result.row().version() + offset + detail);
        }
    }

    private static ExitCode codeOf(List<EditResult> results) {
        if (results.stream().anyMatch(result -> result.kind() == EditResult.Kind.UNKNOWN)) {
            return ExitCode.UNKNOWN;
        }
        boolean rejected = results.stream().anyMatch(result -> result.kind() == EditResult.Kind.REJECTED);
        return rejected ? ExitCode.REJECTED : ExitCode.DONE;
    }
}
