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

/** What a gateway gives its peers of what it has read. */
public class RecordCacheTest {
    private static final long NOW = 1_000;

    private static KeyedRecord record(long offset, String key) {
        return new KeyedRecord(offset, key, Optional.of(new byte[] {1}));
    }

    private static KeyedRecord removal(long offset, String key) {
        return new KeyedRecord(offset, key, Optional.empty());
    }

    private static List<String> keys(RecordCache.Part part) {
        return part.page().records().stream().map(KeyedRecord::key).sorted().toList();
    }

    /**
     * Load of a release before 28 gateways: ten engines are replaced within seconds. Each peer has read almost
     * everything; it is given the changes alone, also that a key was removed.
     */
    @Test
    public void aPeerIsGivenWhatCameAfterItsOffset() {
        RecordCache cache = new RecordCache();
        cache.take(Topic.SERVERS, new Page(List.of(record(3, "a"), record(5, "b")), 6), true, NOW);
        cache.take(Topic.SERVERS, new Page(List.of(record(6, "c"), removal(7, "a")), 8), false, NOW);
        RecordCache.Part changes = cache.fresh(Topic.SERVERS, 0, 6, NOW).orElseThrow();
        assertFalse(changes.whole());
        assertEquals(keys(changes), List.of("a", "c"));
        assertEquals(changes.page().next(), 8);
    }

    /** A peer that has just started, or lags behind what is known of removals, is given every key that exists. */
    @Test
    public void aPeerThatLagsIsGivenEverything() {
        RecordCache cache = new RecordCache();
        cache.take(Topic.SERVERS, new Page(List.of(record(3, "a"), record(5, "b")), 6), true, NOW);
        List<KeyedRecord> removals = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            removals.add(removal(6 + i, "x" + i));
        }
        cache.take(Topic.SERVERS, new Page(removals, 306), false, NOW);
        for (long from : new long[] {-1, 5, 6, 49}) {
            RecordCache.Part all = cache.fresh(Topic.SERVERS, 0, from, NOW).orElseThrow();
            assertTrue(all.whole(), "from " + from);
            assertEquals(keys(all), List.of("a", "b"));
        }
        assertFalse(cache.fresh(Topic.SERVERS, 0, 50, NOW).orElseThrow().whole());
    }

    /** The store turns this gateway away as well; what it knows is too old to give. */
    @Test
    public void oldRecordsAreNotGiven() {
        RecordCache cache = new RecordCache();
        cache.take(Topic.SERVERS, new Page(List.of(record(3, "a")), 4), true, NOW);
        assertEquals(cache.fresh(Topic.SERVERS, 0, -1, NOW + Follower.LONG_POLL_MILLIS + 1_001), Optional.empty());
    }

    /** Guards against changes since an offset of another era: the store was restored, and its offsets went back. */
    @Test
    public void aPeerOfAnotherEraIsGivenEverything() {
        RecordCache cache = new RecordCache();
        cache.take(Topic.SERVERS, new Page(List.of(record(3, "a"), record(9, "b")), 10, 1), true, NOW);
        cache.take(Topic.SERVERS, new Page(List.of(record(3, "a")), 4, 2), true, NOW);
        cache.take(Topic.SERVERS, new Page(List.of(record(10, "late")), 11, 1), false, NOW);
        RecordCache.Part all = cache.fresh(Topic.SERVERS, 1, 4, NOW).orElseThrow();
        assertTrue(all.whole());
        assertEquals(keys(all), List.of("a"));
        assertEquals(all.page().era(), 2);
        assertFalse(cache.fresh(Topic.SERVERS, 2, 4, NOW).orElseThrow().whole());
    }
}
