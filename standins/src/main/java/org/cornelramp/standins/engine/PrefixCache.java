package org.cornelramp.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which prompt prefixes are cached, in blocks, within a limited memory; and the late events about it.
 * Confined to its owner's lock.
 */
final class PrefixCache {
    /** Inputs in one block. */
    static final int BLOCK = 16;

    private static final int MAX_EVENTS = 20_000;
    private static final long LATE_MILLIS = 300;

    private final int maxBlocks;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<Late> events = new ArrayDeque<>();
    private long next;

    PrefixCache(int maxBlocks) {
        this.maxBlocks = maxBlocks;
    }

    /** Number of leading inputs whose work the cache saves; at least one input is always run. */
    int cached(long[] inputs) {
        long hash = 0;
        int saved = 0;
        for (int i = 0; i < inputs.length - 1; i++) {
            hash = ModelMath.prefix(hash, inputs[i]);
            if ((i + 1) % BLOCK == 0) {
                if (!blocks.containsKey(hash)) {
                    return saved;
                }
                saved = i + 1;
            }
        }
        return saved;
    }

    /** Caches all whole blocks of a prompt; {@code gap} loses each event of that number, 0 none. */
    void add(long[] inputs, long now, long gap) {
        long hash = 0;
        for (int i = 0; i < inputs.length; i++) {
            hash = ModelMath.prefix(hash, inputs[i]);
            if ((i + 1) % BLOCK == 0 && blocks.put(hash, true) == null) {
                event(hash, true, now, gap);
                evict(now, gap);
            }
        }
    }

    EngineMessages.CacheEvents eventsFrom(long from, long now) {
        List<EngineMessages.CacheEvent> shown = events.stream()
                .filter(late -> late.event.seq() >= from && now - late.at >= LATE_MILLIS)
                .map(late -> late.event)
                .toList();
        long after = shown.isEmpty() ? from : shown.get(shown.size() - 1).seq() + 1;
        return new EngineMessages.CacheEvents(after, shown);
    }

    private void evict(long now, long gap) {
        if (blocks.size() > maxBlocks) {
            Iterator<Long> eldest = blocks.keySet().iterator();
            long hash = eldest.next();
            eldest.remove();
            event(hash, false, now, gap);
        }
    }

    private void event(long hash, boolean held, long now, long gap) {
        long seq = next++;
        if (gap > 0 && seq % gap == 0) {
            return;
        }
        if (events.size() == MAX_EVENTS) {
            events.removeFirst();
        }
        events.addLast(new Late(now, new EngineMessages.CacheEvent(seq, String.format("%016x", hash), held)));
    }

    private record Late(long at, EngineMessages.CacheEvent event) {}
}
