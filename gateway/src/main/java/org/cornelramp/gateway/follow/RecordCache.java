package org.cornelramp.gateway.follow;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.platform.MetadataStore;

/**
 * The newest record of each key that this process has read, for its peers. Safe for use by any thread.
 *
 * <p>Removed keys are kept as records without a value, so that a peer which has read up to an offset can be given just
 * what came after it. All 60 registrations are 12 KB; sent whole to 27 peers at every change of a release they took
 * twice what the link of a small machine carries.
 */
public final class RecordCache {
    /** Age up to which records are given to a peer: a long poll and a second. */
    private static final long FRESH_MILLIS = Follower.LONG_POLL_MILLIS + 1_000;

    /** Most removed keys kept; a peer that lags further behind is given everything. */
    private static final int MOST_REMOVED = 256;

    private final Map<MetadataStore.Topic, Records> topics = new EnumMap<>(MetadataStore.Topic.class);

    /**
     * Records for a peer. Immutable, safe for use by any thread.
     *
     * @param whole whether no other keys exist; else these are the changes since the offset that was asked for
     */
    record Part(MetadataStore.Page page, boolean whole) {}

    private static final class Records {
        private final Map<String, MetadataStore.KeyedRecord> byKey = new HashMap<>();
        private long era;
        private long next;
        private long readMillis;
        /** From here on every removal is known. */
        private long removalsFrom;
    }

    /** Takes records as read; {@code whole} if no other keys exist. Those of an earlier era of the store are ignored. */
    synchronized void take(MetadataStore.Topic topic, MetadataStore.Page page, boolean whole, long nowMillis) {
        Records records = topics.computeIfAbsent(topic, any -> new Records());
        if (page.era() < records.era || (page.era() > records.era && !whole)) {
            return;
        }
        records.era = page.era();
        if (whole) {
            records.byKey.clear();
            records.removalsFrom = page.next();
        }
        page.records().forEach(record -> records.byKey.put(record.key(), record));
        records.next = page.next();
        records.readMillis = nowMillis;
        forgetRemoved(records);
    }

    private static void forgetRemoved(Records records) {
        List<MetadataStore.KeyedRecord> removed = records.byKey.values().stream()
                .filter(record -> record.value().isEmpty())
                .sorted(Comparator.comparingLong(MetadataStore.KeyedRecord::offset))
                .toList();
        for (MetadataStore.KeyedRecord oldest : removed.subList(0, Math.max(0, removed.size() - MOST_REMOVED))) {
            records.byKey.remove(oldest.key());
            records.removalsFrom = Math.max(records.removalsFrom, oldest.offset() + 1);
        }
    }

    /**
     * What came at an offset or later, or everything where that is not known; empty if the store has not answered
     * lately.
     *
     * @param era era of the store in which the offset holds
     * @param from the offset; negative for everything
     */
    synchronized Optional<Part> fresh(MetadataStore.Topic topic, long era, long from, long nowMillis) {
        Records records = topics.get(topic);
        if (records == null || nowMillis - records.readMillis > FRESH_MILLIS) {
            return Optional.empty();
        }
        boolean whole = era != records.era || from < records.removalsFrom;
        List<MetadataStore.KeyedRecord> some = records.byKey.values().stream()
                .filter(record -> whole ? record.value().isPresent() : record.offset() >= from)
                .toList();
        return Optional.of(new Part(new MetadataStore.Page(some, records.next, records.era), whole));
    }
}
