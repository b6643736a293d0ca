package org.cornelramp.gateway.follow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelramp.platform.MetadataStore.KeyedRecord;
import org.cornelramp.platform.MetadataStore.Page;
import org.cornelramp.platform.MetadataStore.Topic;
import org.testng.annotations.Test;

/** Which records a gateway serves to its peers. */
public class RecordCacheTest {
    private static final long NOW = 1_000;

    private static KeyedRecord record(long offset, String key) {
        return new KeyedRecord(offset, key, Optional.of(new byte[] {1}));
    }

    private static KeyedRecord removal(long offset, String key) {
        return new KeyedRecord(offset, key, Optional.empty());
    }

    private static List<String> keys(RecordCache.RecordSet part) {
        return part.page().records().stream().map(KeyedRecord::key).sorted().toList();
    }

    /**
     * Guards against full copies to all peers in a release behind 28 gateways, where ten engines are replaced within
     * seconds. A peer that is almost up to date gets only the changes, including the removal of a key.
     */
    @Test
    public void peerGetsChangesSinceItsOffset() {
        RecordCache cache = new RecordCache();
        cache.update(Topic.SERVERS, new Page(List.of(record(3, "a"), record(5, "b")), 6), true, NOW);
        cache.update(Topic.SERVERS, new Page(List.of(record(6, "c"), removal(7, "a")), 8), false, NOW);
        RecordCache.RecordSet changes =
                cache.recordsFrom(Topic.SERVERS, 0, 6, NOW).orElseThrow();
        assertFalse(changes.complete());
        assertEquals(keys(changes), List.of("a", "c"));
        assertEquals(changes.page().next(), 8);
    }

    /** A peer that has just started, or lags behind the oldest known removal, gets every existing key. */
    @Test
    public void laggingPeerGetsAllKeys() {
        RecordCache cache = new RecordCache();
        cache.update(Topic.SERVERS, new Page(List.of(record(3, "a"), record(5, "b")), 6), true, NOW);
        List<KeyedRecord> removals = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            removals.add(removal(6 + i, "x" + i));
        }
        cache.update(Topic.SERVERS, new Page(removals, 306), false, NOW);
        for (long from : new long[] {-1, 5, 6, 49}) {
            RecordCache.RecordSet all =
                    cache.recordsFrom(Topic.SERVERS, 0, from, NOW).orElseThrow();
            assertTrue(all.complete(), "from " + from);
            assertEquals(keys(all), List.of("a", "b"));
        }
        assertFalse(cache.recordsFrom(Topic.SERVERS, 0, 50, NOW).orElseThrow().complete());
    }

    /** Guards against outdated records from a gateway that the store refuses as well. */
    @Test
    public void outdatedRecordsAreNotServed() {
        RecordCache cache = new RecordCache();
        cache.update(Topic.SERVERS, new Page(List.of(record(3, "a")), 4), true, NOW);
        assertEquals(cache.recordsFrom(Topic.SERVERS, 0, -1, NOW + 1_000 + 1_001), Optional.empty());
    }

    /** Guards against changes since an offset of another era: the store was restored, and its offsets went back. */
    @Test
    public void peerOfAnotherEraGetsAllKeys() {
        RecordCache cache = new RecordCache();
        cache.update(Topic.SERVERS, new Page(List.of(record(3, "a"), record(9, "b")), 10, 1), true, NOW);
        cache.update(Topic.SERVERS, new Page(List.of(record(3, "a")), 4, 2), true, NOW);
        cache.update(Topic.SERVERS, new Page(List.of(record(10, "late")), 11, 1), false, NOW);
        RecordCache.RecordSet all = cache.recordsFrom(Topic.SERVERS, 1, 4, NOW).orElseThrow();
        assertTrue(all.complete());
        assertEquals(keys(all), List.of("a"));
        assertEquals(all.page().era(), 2);
        assertFalse(cache.recordsFrom(Topic.SERVERS, 2, 4, NOW).orElseThrow().complete());
    }
}
