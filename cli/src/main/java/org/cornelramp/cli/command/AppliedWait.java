package org.cornelramp.cli.command;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.core.operate.AppliedDocument;

/** Waits until every live process tells that it applies an offset. Confined to one thread. */
final class AppliedWait {
    private static final long LONGEST_SECONDS = 30;
    private static final long PAUSE_MILLIS = 200;

    private final Context context;

    AppliedWait(Context context) {
        this.context = context;
    }

    ExitCode await(long offset, CommandLine line) throws CliException {
        Instant begin = context.clock().instant();
        Instant limit = begin.plusSeconds(seconds(line));
        int shown = -1;
        while (true) {
            Map<String, Long> applied = applied(context.entries().all());
            long behind = applied.values().stream().filter(at -> at < offset).count();
            int done = applied.size() - (int) behind;
            if (done != shown) {
                context.progress().println("applied by " + done + " of " + applied.size() + " processes");
                shown = done;
            }
            if (behind == 0) {
                long millis = Duration.between(begin, context.clock().instant()).toMillis();
                context.progress().println("in force everywhere; offset=" + offset + " waitedMillis=" + millis);
                return ExitCode.DONE;
            }
            if (context.clock().instant().isAfter(limit)) {
                context.progress().println("not yet applied by " + names(applied, offset) + "; see status");
                return ExitCode.NOT_APPLIED;
            }
            pause();
        }
    }

    /** The lowest offset that each process told; an entry that does not answer counts as applying nothing. */
    private Map<String, Long> applied(List<String> entries) throws CliException {
        Map<String, Long> applied = new TreeMap<>();
        for (String url : entries) {
            Optional<AppliedDocument> document = context.entries().getFrom(url, "applied", AppliedDocument.class);
            if (document.isEmpty()) {
                applied.put(url, -1L);
                continue;
            }
            applied.put("entry " + document.get().entry(), document.get().offset());
            // Agents tell with each heartbeat, so what one entry heard last may be older than what another did.
            document.get().agents().forEach((agent, at) -> applied.merge("agent " + agent, at, Math::max));
        }
        return applied;
    }

    private static String names(Map<String, Long> applied, long offset) {
        return String.join(
                ", ",
                applied.entrySet().stream()
                        .filter(one -> one.getValue() < offset)
                        .map(Map.Entry::getKey)
                        .toList());
    }

    private static long seconds(CommandLine line) throws CliException {
        try {
            return Long.parseLong(line.getOptionValue("wait-seconds", Long.toString(LONGEST_SECONDS)));
        } catch (NumberFormatException e) {
            throw new CliException(ExitCode.USAGE, "give --wait-seconds a whole number");
        }
    }

    private static void pause() throws CliException {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException(ExitCode.NOT_APPLIED, "interrupted; the edits are accepted");
        }
    }
}
