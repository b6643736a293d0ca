package org.cornelramp.standins.engine;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The sessions of an engine and their bounded KV cache. Guarded by the owner's lock.
 *
 * <p>Like a real engine, it does not check for repeated positions: a position that runs twice changes the session
 * permanently.
 */
final class Sessions {
    private static final long IDLE_MILLIS = 120_000;

    private final Map<String, Session> sessions = new LinkedHashMap<>(16, 0.75f, true);
    private final int layers;
    private final long maxPositions;
    private long usedPositions;

    Sessions(int layers, long limit) {
        this.layers = layers;
        this.maxPositions = limit;
    }

    /** Starts a session at position 0, or finds the one that a step continues; returns an error if the step cannot run. */
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
        session.usedAtMillis = now;
        if (position > session.position) {
            return Optional.of("gap");
        }
        if (usedPositions + inputs > maxPositions) {
            return Optional.of("kv-full");
        }
        return Optional.empty();
    }

    /** Runs one input of a session; returns the activation after the last layer. */
    long run(String id, int from, long input) {
        Session session = sessions.get(id);
        session.position++;
        usedPositions++;
        return ModelMath.runLayers(session.kv, from, input);
    }

    boolean has(String id) {
        return sessions.containsKey(id);
    }

    void drop(String id) {
        Session session = sessions.remove(id);
        if (session != null) {
            usedPositions -= session.position;
        }
    }

    Optional<EngineMessages.Kv> export(String id) {
        return Optional.ofNullable(sessions.get(id))
                .map(session -> new EngineMessages.Kv(session.position, session.kv.clone()));
    }

    void put(String id, EngineMessages.Kv kv, long now) {
        drop(id);
        sessions.put(id, new Session(kv.layers().clone(), kv.position(), now));
        usedPositions += kv.position();
    }

    long usedPositions() {
        return usedPositions;
    }

    /** Frees the KV cache of sessions that their callers have abandoned. */
    private void dropIdle(long now) {
        Iterator<Map.Entry<String, Session>> eldest = sessions.entrySet().iterator();
        Map<String, Session> idle = new HashMap<>();
        while (eldest.hasNext()) {
            Map.Entry<String, Session> entry = eldest.next();
            if (now - entry.getValue().usedAtMillis < IDLE_MILLIS) {
                break;
            }
            idle.put(entry.getKey(), entry.getValue());
        }
        idle.keySet().forEach(this::drop);
    }

    private static final class Session {
        private final long[] kv;
        private int position;
        private long usedAtMillis;

        Session(long[] kv, int position, long usedAt) {
            this.kv = kv;
            this.position = position;
            this.usedAtMillis = usedAt;
        }
    }
}
