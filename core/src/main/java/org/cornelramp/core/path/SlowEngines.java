package org.cornelramp.core.path;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;

/**
 * Tells from the pauses of streams which engines may have turned slow, and so are worth a question. Owned by one thread.
 *
 * <p>A slow engine answers, and its streams flow; nothing else shows it. Its streams take a few times as long, keep their
 * memory on all engines of their paths meanwhile, and end in a fleet that has no room for new ones. One stream says little,
 * as any of a dozen engines may hold it up; but an engine that any quick stream passes is not slow.
 */
public final class SlowEngines {
    /** How much longer than usual the pauses are from which on a stream is slow, for the time that its path should take. */
    private static final double SLOW = 1.4;

    /** Part of the streams that count as usual: many paths pass one slow engine or another. */
    private static final double USUAL_PART = 0.25;

    /** Weight of a look that finds slower streams than the looks before; one that finds quicker ones counts at once. */
    private static final double SLOWER_WEIGHT = 0.003;

    private double usual;

    /**
     * One stream under way. Immutable, safe for use by any thread.
     *
     * @param engines the engines that it passes
     * @param slowness its pauses of late, over the time that a token should take on its path
     */
    public record Stream(List<BackendServerId> engines, double slowness) {
        public Stream {
            engines = List.copyOf(engines);
        }
    }

    /** The engines that may be slow: those that only slow streams pass. */
    public Set<BackendServerId> find(Collection<Stream> streams) {
        if (streams.isEmpty()) {
            return Set.of();
        }
        learn(streams);
        Map<BackendServerId, Double> quickest = new HashMap<>();
        for (Stream stream : streams) {
            stream.engines().forEach(id -> quickest.merge(id, stream.slowness(), Math::min));
        }
        Set<BackendServerId> found = new HashSet<>();
        quickest.forEach((id, slowness) -> {
            if (slowness > SLOW * usual) {
                found.add(id);
            }
        });
        return found;
    }

    private void learn(Collection<Stream> streams) {
        double[] sorted =
                streams.stream().mapToDouble(Stream::slowness).sorted().toArray();
        double now = sorted[(int) (USUAL_PART * (sorted.length - 1))];
        usual = usual == 0 || now < usual ? now : usual + SLOWER_WEIGHT * (now - usual);
    }
}
