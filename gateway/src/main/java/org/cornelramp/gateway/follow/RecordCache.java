package org.cornelramp.gateway.follow;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.platform.MetadataStore;

/**
 * Caches the newest record of each key that this process has read, for its peers. Safe for use by any thread.
 *
 * <p>Removed keys are kept as records without a value, so that a peer that has read up to an offset gets only the
 * changes after it. All 60 registrations are 12 KB; sent in full to 27 peers at every change of a release, they would
 * take twice the bandwidth of a small machine's link.
 */
public final class RecordCache {
    /** Age of the store's last answer up to which records are served to peers: two long polls. */
    private static final long MAX_AGE_MILLIS = 2_000;

    /** Most removed keys kept; a peer that lags further behind gets all keys. */
    private static final int MAX_REMOVED_KEYS = 256;

    private final Map<MetadataStore.Topic, Records> topics = new EnumMap<>(MetadataStore.Topic.class);

    /**
     * Records for a peer. Immutable, safe for use by any thread.
     *
     * @param complete whether the records contain every existing key; otherwise they are the changes since the
     * requested offset
     */
    record RecordSet(MetadataStore.Page page, boolean complete) {}

    private static final class Records {
        private final Map<String, MetadataStore.KeyedRecord> byKey = new HashMap<>();
        private long era;
        private long next;
        private long readMillis;
        /** Offset from which on every removal is known. */
        private long removalsFrom;
    }

    /**
     * Stores records that were read; {@code complete} if they contain every existing key. Records of an earlier era of
     * the store are ignored, as are changes of a later one without a complete set.
     */
    synchronized void update(MetadataStore.Topic topic, MetadataStore.Page page, boolean complete, long nowMillis) {
        Records records = topics.computeIfAbsent(topic, any -> new Records());
        if (page.era() < records.era || (page.era() > records.era && !complete)) {
            return;
        }
        records.era = page.era();
        if (complete) {
            records.byKey.clear();
            records.removalsFrom = page.next();
        }
        page.records().forEach(record -> records.byKey.put(record.key(), record));
        records.next = page.next();
        records.readMillis = nowMillis;
        dropOldRemovals(records);
    }

    private static void dropOldRemovals(Records records) {
        List<MetadataStore.KeyedRecord> removed = records.byKey.values().stream()
                .filter(record -> record.value().isEmpty())
                .sorted(Comparator.comparingLong(MetadataStore.KeyedRecord::offset))
                .toList();
        for (MetadataStore.KeyedRecord oldest : removed.subList(0, Math.max(0, removed.size() - MAX_REMOVED_KEYS))) {
            records.byKey.remove(oldest.key());
            records.removalsFrom = Math.max(records.removalsFrom, oldest.offset() + 1);
        }
    }

    /**
     * The records from an offset on, or those of all existing keys if the changes since then are not known; empty if
     * the store has not answered recently.
     *
     * @param era era of the store for which the offset is valid
     * @param from the offset; negative for all existing keys
     */
    synchronized Optional<RecordSet> recordsFrom(MetadataStore.Topic topic, long era, long from, long nowMillis) {
        Records records = topics.get(topic);
        if (records == null || nowMillis - records.readMillis > MAX_AGE_MILLIS) {
            return Optional.empty();
        }
        boolean complete = era != records.era || from < records.removalsFrom;
        List<MetadataStore.KeyedRecord> selected = records.byKey.values().stream()
                .filter(record -> complete ? record.value().isPresent() : record.offset() >= from)
                .toList();
        return Optional.of(new RecordSet(new MetadataStore.Page(selected, records.next, records.era), complete));
    }
}
