package org.cornelramp.gateway.follow;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.platform.MetadataStore;

/**
 * The newest record of each key that this process has read, for peers that the store turns away. Safe for use by any
 * thread.
 */
public final class RecordCache {
    /** Age up to which records are given to a peer: a long poll and a second. */
    private static final long FRESH_MILLIS = Follower.LONG_POLL_MILLIS + 1_000;

    private final Map<MetadataStore.Topic, Records> topics = new EnumMap<>(MetadataStore.Topic.class);

    private static final class Records {
        private final Map<String, MetadataStore.KeyedRecord> byKey = new HashMap<>();
        private long next;
        private long readMillis;
    }

    /** Takes records as read; {@code whole} if no other keys exist. */
    synchronized void take(MetadataStore.Topic topic, MetadataStore.Page page, boolean whole, long nowMillis) {
        Records records = topics.computeIfAbsent(topic, any -> new Records());
        if (whole) {
            records.byKey.clear();
        }
        for (MetadataStore.KeyedRecord record : page.records()) {
            if (record.value().isPresent()) {
                records.byKey.put(record.key(), record);
            } else {
                records.byKey.remove(record.key());
            }
        }
        records.next = page.next();
        records.readMillis = nowMillis;
    }

    /** The newest record of each key; empty if the store has not answered lately. */
    synchronized Optional<MetadataStore.Page> fresh(MetadataStore.Topic topic, long nowMillis) {
        Records records = topics.get(topic);
        if (records == null || nowMillis - records.readMillis > FRESH_MILLIS) {
            return Optional.empty();
        }
        return Optional.of(new MetadataStore.Page(List.copyOf(records.byKey.values()), records.next));
    }
}
