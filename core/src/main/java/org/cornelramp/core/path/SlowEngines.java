package org.cornelramp.core.path;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;

/**
 * Tells from the pauses of streams which engines may have become slow, and so are worth a question.
 *
 * <p>An engine that takes four times as long answers every question and cuts nothing off; it only makes each stream that
 * passes it late, and new streams go on choosing it, as its load looks ordinary. Where the pauses come near to what the
 * operators allow, the engines of the stream are asked for their pace, but for those that some other stream passes
 * quickly. So a calm day asks nobody. Stateless, safe for use by any thread.
 */
public final class SlowEngines {
    /** Share of the allowed time from which a stream counts as slow: there is still time to send new ones elsewhere. */
    private static final double SLOW = 0.45;

    /** Share of the allowed time below which a stream counts as quick, and its engines as sound. */
    private static final double QUICK = 0.25;

    private SlowEngines() {}

    /**
     * One stream under way. Immutable, safe for use by any thread.
     *
     * @param engines the engines that it passes
     * @param share its usual pause of late, or its wait for the first event, as a share of what the route allows
     */
    public record Stream(List<BackendServerId> engines, double share) {
        public Stream {
            engines = List.copyOf(engines);
        }
    }

    /** The engines that may be slow. */
    public static Set<BackendServerId> find(Collection<Stream> streams) {
        Set<BackendServerId> found = new HashSet<>();
        streams.stream().filter(stream -> stream.share() >= SLOW).forEach(stream -> found.addAll(stream.engines()));
        if (!found.isEmpty()) {
            streams.stream().filter(stream -> stream.share() < QUICK).forEach(stream -> stream.engines()
                    .forEach(found::remove));
        }
        return found;
    }
}
