package org.cornelramp.core.table;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tells which edits of one row came into force, from the records alone and without folding them again.
 *
 * <p>Each edit names the version that it was made against, and only an edit against the row's version is accepted.
 * So the accepted edits form a chain: the row's version is the offset of the last, which names the one before it.
 * Going back along that chain finds all of them, also where the fold rejects for reasons that other rows give.
 *
 * <p>Immutable, safe for use by any thread.
 */
public final class RowHistory {
    private final List<Entry> edits;
    private final Set<Long> accepted;

    /**
     * One edit of the row.
     *
     * @param offset offset of its record
     * @param at when the log took it, in milliseconds since 1970
     * @param edit the edit
     */
    public record Entry(long offset, long at, TableEdit edit) {}

    private RowHistory(List<Entry> edits, Set<Long> accepted) {
        this.edits = edits;
        this.accepted = accepted;
    }

    /**
     * Finds the accepted edits.
     *
     * @param table a table at or above the last of the records
     * @param key the row
     * @param records consecutive records of the log, of all rows
     */
    public static RowHistory of(FoldedTable table, RowKey key, List<LoggedRecord> records) {
        List<Entry> edits = records.stream()
                .filter(record -> record.offset() < table.offset())
                .flatMap(record -> TableRecords.readEdit(record.value()).stream()
                        .filter(edit -> edit.key().equals(key))
                        .map(edit -> new Entry(record.offset(), record.at(), edit)))
                .toList();
        Map<Long, Long> against = new HashMap<>();
        edits.forEach(entry -> against.put(entry.offset(), entry.edit().against()));
        Set<Long> accepted = new HashSet<>();
        long version = table.version(key);
        // Versions fall along the chain; a faulty record against a later version must not make it run in a circle.
        while (against.containsKey(version) && accepted.add(version)) {
            version = against.get(version);
        }
        return new RowHistory(edits, accepted);
    }

    /** The edits of the row, oldest first. */
    public List<Entry> edits() {
        return edits;
    }

    /** Whether the edit at an offset came into force. */
    public boolean isAccepted(long offset) {
        return accepted.contains(offset);
    }

    /**
     * The edit with an id: the accepted one if it is on the log more than once, as after an append whose answer was
     * lost and that was made again.
     */
    public Optional<Entry> find(String id) {
        List<Entry> found =
                edits.stream().filter(entry -> entry.edit().id().equals(id)).toList();
        return found.stream()
                .filter(entry -> isAccepted(entry.offset()))
                .findFirst()
                .or(() -> found.stream().findFirst());
    }

    /** The edit that came into force against a version, if it is among the records. */
    public Optional<Entry> winnerAgainst(long version) {
        return edits.stream()
                .filter(entry -> isAccepted(entry.offset()) && entry.edit().against() == version)
                .findFirst();
    }
}
