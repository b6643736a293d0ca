package org.cornelramp.core.table;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Determines which edits of one row were accepted, from the records alone and without folding them again.
 *
 * <p>Each edit names its base version, and only an edit based on the row's current version is accepted. So the accepted
 * edits form a linked list: the row's version is the offset of the last one, whose base version is the offset of the
 * one before it. Following that list backwards finds all of them, including where the fold rejects an edit because of
 * other rows.
 *
 * <p>Immutable, safe for use by any thread.
 */
public final class RowHistory {
    private final List<LoggedEdit> edits;
    private final Set<Long> acceptedOffsets;

    /**
     * One edit of the row.
     *
     * @param offset offset of its record
     * @param appendedAtMillis time at which the log appended it, in milliseconds since 1970
     * @param edit the edit
     */
    public record LoggedEdit(long offset, long appendedAtMillis, TableEdit edit) {}

    private RowHistory(List<LoggedEdit> edits, Set<Long> acceptedOffsets) {
        this.edits = edits;
        this.acceptedOffsets = acceptedOffsets;
    }

    /**
     * Finds the accepted edits.
     *
     * @param table a table at or above the offset of the last record
     * @param key the row
     * @param records consecutive records of the log, for all rows
     */
    public static RowHistory of(FoldedTable table, RowKey key, List<LoggedRecord> records) {
        List<LoggedEdit> edits = records.stream()
                .filter(record -> record.offset() < table.offset())
                .flatMap(record -> TableRecords.readEdit(record.value()).stream()
                        .filter(edit -> edit.key().equals(key))
                        .map(edit -> new LoggedEdit(record.offset(), record.appendedAtMillis(), edit)))
                .toList();
        Map<Long, Long> baseVersions = new HashMap<>();
        edits.forEach(entry -> baseVersions.put(entry.offset(), entry.edit().baseVersion()));
        Set<Long> acceptedOffsets = new HashSet<>();
        long version = table.version(key);
        // Versions decrease along the list; the check of add() prevents an endless loop on a faulty record that names a
        // later base version.
        while (baseVersions.containsKey(version) && acceptedOffsets.add(version)) {
            version = baseVersions.get(version);
        }
        return new RowHistory(edits, acceptedOffsets);
    }

    /** The edits of the row, oldest first. */
    public List<LoggedEdit> edits() {
        return edits;
    }

    /** Whether the edit at an offset was accepted. */
    public boolean isAccepted(long offset) {
        return acceptedOffsets.contains(offset);
    }

    /**
     * The edit with an id. The log may hold an edit more than once, since an append is repeated after its answer was
     * lost; then the accepted one is returned.
     */
    public Optional<LoggedEdit> find(String id) {
        List<LoggedEdit> found =
                edits.stream().filter(entry -> entry.edit().id().equals(id)).toList();
        return found.stream()
                .filter(entry -> isAccepted(entry.offset()))
                .findFirst()
                .or(() -> found.stream().findFirst());
    }

    /** The accepted edit with a base version, if it is among the records. */
    public Optional<LoggedEdit> acceptedEditWithBase(long version) {
        return edits.stream()
                .filter(entry -> isAccepted(entry.offset()) && entry.edit().baseVersion() == version)
                .findFirst();
    }
}
