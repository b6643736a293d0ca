package org.cornelramp.standins.engine;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The sessions of an engine and their bounded KV cache. Confined to its owner's lock.
 *
 * <p>Like a real engine it trusts its caller: a position that is run twice changes the session for good.
 */
final class Sessions {
    private static final long IDLE_MILLIS = 120_000;

    private final Map<String, Session> sessions = new LinkedHashMap<>(16, 0.75f, true);
    private final int layers;
    private final long limit;
    private long used;

    Sessions(int layers, long limit) {
        this.layers = layers;
        this.limit = limit;
    }

    /** Finds or starts the session that a step continues; the text of the error if it cannot run. */
    Optional<String> prepare(String id, int position, int inputs, long now) {
        dropIdle(now);
        if (position == 0) {
            drop(id);
            sessions.put(id, new Session(new long[layers], 0, now));
        }
        Session session = sessions.get(id);
        if (session == null) {
            return Optional.of("no-session");
        }
        session.usedAt = now;
        if (position > session.position) {
            return Optional.of("gap");
        }
        if (used + inputs > limit) {
            return Optional.of("kv-full");
        }
        return Optional.empty();
    }

    /** Runs one input. */
    long run(String id, int from, long input) {
        Session session = sessions.get(id);
        session.position++;
        used++;
        return ModelMath.run(session.kv, from, input);
    }

    boolean has(String id) {
        return sessions.containsKey(id);
    }

    void drop(String id) {
        Session session = sessions.remove(id);
        if (session != null) {
            used -= session.position;
        }
    }

    Optional<EngineMessages.Kv> export(String id) {
        return Optional.ofNullable(sessions.get(id))
                .map(session -> new EngineMessages.Kv(session.position, session.kv.clone()));
    }

    void put(String id, EngineMessages.Kv kv, long now) {
        drop(id);
        sessions.put(id, new Session(kv.layers().clone(), kv.position(), now));
        used += kv.position();
    }

    long used() {
        return used;
    }

    /** Sessions whose callers have gone must not fill the KV cache for ever. */
    private void dropIdle(long now) {
        Iterator<Map.Entry<String, Session>> eldest = sessions.entrySet().iterator();
        Map<String, Session> idle = new HashMap<>();
        while (eldest.hasNext()) {
            Map.Entry<String, Session> entry = eldest.next();
            if (now - entry.getValue().usedAt < IDLE_MILLIS) {
                break;
            }
            idle.put(entry.getKey(), entry.getValue());
        }
        idle.keySet().forEach(this::drop);
    }

    private static final class Session {
        private final long[] kv;
        private int position;
        private long usedAt;

        Session(long[] kv, int position, long usedAt) {
            this.kv = kv;
            this.position = position;
            this.usedAt = usedAt;
        }
    }
}
