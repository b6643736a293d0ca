package org.cornelramp.bench.soak;

import java.util.HashMap;
import java.util.Map;
import org.cornelramp.bench.fleet.FleetException;
import org.cornelramp.bench.fleet.JsonHttp;
import org.cornelramp.bench.fleet.Member;

/**
 * Checks that the table offset of every process never decreases, and that no entry shows an older version of the row
 * than it showed before. A restarted process is a new one. Confined to one thread.
 */
final class TableMonitor implements AutoCloseable {
    private static final String OFFSET_METRIC = "cornelramp_table_offset";

    private final Violations violations;
    private final Operators operators;
    private final JsonHttp http = new JsonHttp();
    private final Map<Long, Long> offsets = new HashMap<>();
    private final Map<Long, Long> versions = new HashMap<>();

    TableMonitor(Operators operators, Violations violations) {
        this.operators = operators;
        this.violations = violations;
    }

    /** Checks one process, which may have exited or be paused. */
    void check(Member member) {
        if (!member.daemon().isAlive()) {
            return;
        }
        long pid = member.daemon().pid();
        long offset = offset(member);
        if (offset >= 0 && pid == member.daemon().pid()) {
            checkNotDecreasing("offset of the table", member, offsets, pid, offset);
        }
        Operators.Shown shown = member.entry() ? operators.readRow(member) : null;
        if (shown != null && pid == member.daemon().pid()) {
            checkNotDecreasing("version of the row", member, versions, pid, shown.version());
        }
    }

    /** Offset of the table that a process applies; -1 if it does not answer. */
    long offset(Member member) {
        try {
            JsonHttp.Answer answer = http.send("GET", member.url() + "/metrics", Map.of(), "");
            return answer.body()
                    .lines()
                    .filter(line -> line.startsWith(OFFSET_METRIC + " ") || line.startsWith(OFFSET_METRIC + "{"))
                    .mapToLong(line -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                    .findFirst()
                    .orElse(-1);
        } catch (FleetException e) {
            return -1;
        }
    }

    @Override
    public void close() {
        http.close();
    }

    private void checkNotDecreasing(String what, Member member, Map<Long, Long> seen, long pid, long value) {
        Long before = seen.put(pid, value);
        if (before != null && value < before) {
            violations.add("table", "the " + what + " fell from " + before + " to " + value + " at " + member.name());
        }
    }
}
