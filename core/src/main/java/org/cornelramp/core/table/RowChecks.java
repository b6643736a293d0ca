package org.cornelramp.core.table;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The valid ranges of the table's columns, shared by the fold, the operators' interface and CSV.
 *
 * <p>A change of a range changes which records of the log are accepted, so all processes must be updated together.
 * Stateless, safe for use by any thread.
 */
public final class RowChecks {
    /** Highest weight. */
    public static final int MAX_WEIGHT = 1_000_000;
    /** Highest priority number, which comes last. */
    public static final int MAX_PRIORITY = 9;
    /** Highest rate, in requests or tokens per second. */
    public static final double MAX_RATE = 1e9;
    /** Highest concurrency. */
    public static final int MAX_CONCURRENCY = 1_000_000;
    /** Longest deadline, in milliseconds. */
    public static final long MAX_DEADLINE_MILLIS = 600_000;
    /** Maximum number of caller keys in one row. */
    public static final int MAX_KEYS = 64;

    private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

    private RowChecks() {}

    /** Returns every fault in a row's values; empty if they are valid. */
    public static List<ColumnFault> validate(RowValues values) {
        List<ColumnFault> faults = new ArrayList<>();
        checkRange(faults, "weight", values.weight(), 1, MAX_WEIGHT);
        checkRange(faults, "priority", values.priority(), 0, MAX_PRIORITY);
        checkRange(faults, "requestsPerSecond", values.requestsPerSecond(), 0, MAX_RATE);
        checkRange(faults, "concurrency", values.concurrency(), 0, MAX_CONCURRENCY);
        checkRange(faults, "tokensPerSecond", values.tokensPerSecond(), 0, MAX_RATE);
        checkRange(faults, "deadlineMillis", (double) values.deadlineMillis(), 1, (double) MAX_DEADLINE_MILLIS);
        if (!(values.objectivePercent() > 0 && values.objectivePercent() < 100)) {
            faults.add(new ColumnFault("objectivePercent", "Give a number above 0 and below 100."));
        }
        checkKeys(faults, values.callerKeyHashes());
        return faults;
    }

    private static void checkKeys(List<ColumnFault> faults, List<String> hashes) {
        boolean valid = hashes.stream().allMatch(hash -> HASH.matcher(hash).matches());
        if (!valid || hashes.size() > MAX_KEYS || new HashSet<>(hashes).size() < hashes.size()) {
            faults.add(new ColumnFault(
                    "callerKeyHashes",
                    "Give at most " + MAX_KEYS + " different SHA-256 hashes in lower-case hexadecimal."));
        }
    }

    /** The condition is negated so that NaN is reported as well. */
    private static void checkRange(List<ColumnFault> faults, String column, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            faults.add(new ColumnFault(column, "Give a number from " + (long) min + " to " + (long) max + "."));
        }
    }
}
