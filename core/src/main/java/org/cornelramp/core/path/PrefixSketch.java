package org.cornelramp.core.path;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The most useful beginnings of prompts that the running requests of a gateway hold, for its peers. Immutable, safe for
 * use by any thread.
 *
 * <p>Invariant: its encoding has at most {@value #MAX_BYTES} bytes. It names engines by a hash of 4 bytes, as their ids
 * would take several times as much.
 *
 * @param holders for each beginning, by its hash, the engines that hold it, by the hash of their id, and the first layer
 *     that each of them holds it for
 */
public record PrefixSketch(Map<Integer, Map<Integer, Integer>> holders) {
    /** Maximum size of the encoding; with the header of a MessagePack binary it stays within 300 bytes. */
    public static final int MAX_BYTES = 297;

    /** A sketch of nothing. */
    public static final PrefixSketch EMPTY = new PrefixSketch(Map.of());

    private static final int ENGINE_BYTES = Integer.BYTES + 1;
    private static final int PREFIX_BYTES = Integer.BYTES + 1;
    private static final int MAX_UNSIGNED_BYTE = 255;

    public PrefixSketch {
        Map<Integer, Map<Integer, Integer>> copy = new LinkedHashMap<>();
        holders.forEach((prefix, engines) -> copy.put(prefix, Map.copyOf(engines)));
        holders = Map.copyOf(copy);
    }

    /** Whether it names nothing. */
    public boolean isEmpty() {
        return holders.isEmpty();
    }

    /** The encoding: the engines with their first layers, then for each beginning the positions of its engines. */
    public byte[] encode() {
        List<Map.Entry<Integer, Integer>> engines = engines(holders);
        ByteBuffer out = ByteBuffer.allocate(encodedBytes(holders));
        out.put((byte) engines.size());
        for (Map.Entry<Integer, Integer> engine : engines) {
            out.putInt(engine.getKey()).put(engine.getValue().byteValue());
        }
        holders.forEach((prefix, held) -> {
            out.putInt(prefix).put((byte) held.size());
            held.entrySet().forEach(engine -> out.put((byte) engines.indexOf(engine)));
        });
        return out.array();
    }

    /**
     * Decodes a sketch.
     *
     * @throws IllegalArgumentException if the bytes are none
     */
    public static PrefixSketch decode(byte[] bytes) {
        if (bytes.length == 0 || bytes.length > MAX_BYTES) {
            throw new IllegalArgumentException("A sketch has 1 to " + MAX_BYTES + " bytes; bytes=" + bytes.length);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            List<Map.Entry<Integer, Integer>> engines = new ArrayList<>();
            for (int left = Byte.toUnsignedInt(in.get()); left > 0; left--) {
                engines.add(Map.entry(in.getInt(), Byte.toUnsignedInt(in.get())));
            }
            Map<Integer, Map<Integer, Integer>> holders = new HashMap<>();
            while (in.hasRemaining()) {
                Map<Integer, Integer> held = holders.computeIfAbsent(in.getInt(), prefix -> new HashMap<>());
                for (int left = Byte.toUnsignedInt(in.get()); left > 0; left--) {
                    Map.Entry<Integer, Integer> engine = engines.get(Byte.toUnsignedInt(in.get()));
                    held.put(engine.getKey(), engine.getValue());
                }
            }
            return new PrefixSketch(holders);
        } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
            throw new IllegalArgumentException("A sketch is cut off or names an unknown engine", e);
        }
    }

    private static List<Map.Entry<Integer, Integer>> engines(Map<Integer, Map<Integer, Integer>> holders) {
        return holders.values().stream()
                .flatMap(held -> held.entrySet().stream())
                .distinct()
                .toList();
    }

    private static int encodedBytes(Map<Integer, Map<Integer, Integer>> holders) {
        int references = holders.values().stream().mapToInt(Map::size).sum();
        return 1 + ENGINE_BYTES * engines(holders).size() + PREFIX_BYTES * holders.size() + references;
    }

    /** Collects holders up to the size of a sketch. Used by one thread. */
    static final class Builder {
        private Map<Integer, Map<Integer, Integer>> holders = new HashMap<>();

        /** Adds a beginning with all engines of a path, or nothing if they do not fit: a part of a path saves nothing. */
        void add(int prefix, StagePath path) {
            Map<Integer, Map<Integer, Integer>> larger = new HashMap<>(holders);
            Map<Integer, Integer> held = new HashMap<>(holders.getOrDefault(prefix, Map.of()));
            path.hops()
                    .forEach(hop -> held.merge(PromptHolders.hash(hop.server().id()), hop.from(), Math::min));
            larger.put(prefix, held);
            boolean layersFit = path.hops().stream().allMatch(hop -> hop.from() <= MAX_UNSIGNED_BYTE);
            if (layersFit && encodedBytes(larger) <= MAX_BYTES) {
                holders = larger;
            }
        }

        PrefixSketch build() {
            return new PrefixSketch(holders);
        }
    }
}
