package org.cornelramp.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which prompt prefixes are cached, in blocks, up to a maximum number of blocks with the least recently used
 * evicted first. Cache events become visible after a delay. Guarded by the owner's lock.
 */
final class PrefixCache {
    /** Number of inputs in one block. */
    static final int BLOCK_INPUTS = 16;

    private static final int MAX_EVENTS = 20_000;
    private static final long EVENT_DELAY_MILLIS = 300;

    private final int maxBlocks;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<TimedEvent> events = new ArrayDeque<>();
    private long nextSequence;

    PrefixCache(int maxBlocks) {
        this.maxBlocks = maxBlocks;
    }

    /** Number of leading inputs that the cache saves; at least one input always runs. */
    int cachedInputs(long[] inputs) {
        long hash = 0;
        int saved = 0;
        for (int i = 0; i < inputs.length - 1; i++) {
            hash = ModelMath.prefixHash(hash, inputs[i]);
            if ((i + 1) % BLOCK_INPUTS == 0) {
                if (!blocks.containsKey(hash)) {
                    return saved;
                }
                saved = i + 1;
            }
        }
        return saved;
    }

    /** Caches all complete blocks of a prompt; every {@code eventGap}-th event is lost, none if 0. */
    void add(long[] inputs, long now, long eventGap) {
        long hash = 0;
        for (int i = 0; i < inputs.length; i++) {
            hash = ModelMath.prefixHash(hash, inputs[i]);
            if ((i + 1) % BLOCK_INPUTS == 0 && blocks.put(hash, true) == null) {
                addEvent(hash, true, now, eventGap);
                evict(now, eventGap);
            }
        }
    }

    EngineMessages.CacheEvents eventsFrom(long from, long now) {
        List<EngineMessages.CacheEvent> visible = events.stream()
                .filter(timed -> timed.event.seq() >= from && now - timed.createdAtMillis >= EVENT_DELAY_MILLIS)
                .map(timed -> timed.event)
                .toList();
        long after = visible.isEmpty() ? from : visible.get(visible.size() - 1).seq() + 1;
        return new EngineMessages.CacheEvents(after, visible);
    }

    private void evict(long now, long eventGap) {
        if (blocks.size() > maxBlocks) {
            Iterator<Long> eldest = blocks.keySet().iterator();
            long hash = eldest.next();
            eldest.remove();
            addEvent(hash, false, now, eventGap);
        }
    }

    private void addEvent(long hash, boolean held, long now, long eventGap) {
        long seq = nextSequence++;
        if (eventGap > 0 && seq % eventGap == 0) {
            return;
        }
        if (events.size() == MAX_EVENTS) {
            events.removeFirst();
        }
        events.addLast(new TimedEvent(now, new EngineMessages.CacheEvent(seq, String.format("%016x", hash), held)));
    }

    private record TimedEvent(long createdAtMillis, EngineMessages.CacheEvent event) {}
}
