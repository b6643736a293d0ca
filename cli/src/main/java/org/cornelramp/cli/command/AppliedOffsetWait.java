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

/**
 * Polls the entries until every live process reports that it has applied an offset of the table. Confined to one
 * thread.
 */
final class AppliedOffsetWait {
    private static final long DEFAULT_WAIT_SECONDS = 30;
    private static final long POLL_INTERVAL_MILLIS = 200;

    private final CommandContext context;

    AppliedOffsetWait(CommandContext context) {
        this.context = context;
    }

    ExitCode await(long offset, CommandLine line) throws CliException {
        Instant begin = context.clock().instant();
        Instant deadline = begin.plusSeconds(waitSeconds(line));
        int lastShown = -1;
        while (true) {
            Map<String, Long> applied = appliedOffsets(context.entryClient().liveEntryUrls());
            long behind = applied.values().stream().filter(at -> at < offset).count();
            int upToDate = applied.size() - (int) behind;
            if (upToDate != lastShown) {
                context.progress().println("applied by " + upToDate + " of " + applied.size() + " processes");
                lastShown = upToDate;
            }
            if (behind == 0) {
                long millis = Duration.between(begin, context.clock().instant()).toMillis();
                context.progress()
                        .println("applied by every live process; offset=" + offset + " waitedMillis=" + millis);
                return ExitCode.DONE;
            }
            if (context.clock().instant().isAfter(deadline)) {
                context.progress().println("not yet applied by " + processesBehind(applied, offset) + "; see status");
                return ExitCode.NOT_APPLIED;
            }
            pause();
        }
    }

    /** The newest offset that each process is known to have applied; -1 for an entry that does not answer. */
    private Map<String, Long> appliedOffsets(List<String> entries) throws CliException {
        Map<String, Long> applied = new TreeMap<>();
        for (String url : entries) {
            Optional<AppliedDocument> document = context.entryClient().getFrom(url, "applied", AppliedDocument.class);
            if (document.isEmpty()) {
                applied.put(url, -1L);
                continue;
            }
            applied.put("entry " + document.get().entry(), document.get().offset());
            // Agents report their offset in each heartbeat, so one entry may hold an older report than another.
            document.get().agents().forEach((agent, at) -> applied.merge("agent " + agent, at, Math::max));
        }
        return applied;
    }

    private static String processesBehind(Map<String, Long> applied, long offset) {
        return String.join(
                ", ",
                applied.entrySet().stream()
                        .filter(process -> process.getValue() < offset)
                        .map(Map.Entry::getKey)
                        .toList());
    }

    private static long waitSeconds(CommandLine line) throws CliException {
        try {
            return Long.parseLong(line.getOptionValue("wait-seconds", Long.toString(DEFAULT_WAIT_SECONDS)));
        } catch (NumberFormatException e) {
            throw new CliException(ExitCode.USAGE, "give --wait-seconds a whole number of seconds");
        }
    }

    private static void pause() throws CliException {
        try {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException(ExitCode.NOT_APPLIED, "interrupted; the edits are accepted");
        }
    }
}
