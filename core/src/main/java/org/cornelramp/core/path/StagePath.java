package org.cornelramp.core.path;

import java.util.List;
import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;

/**
 * A way through the whole model. Immutable, safe for use by any thread.
 *
 * <p>Invariant: the hops follow on one another without gap or overlap, so each layer runs once and in order.
 *
 * @param hops the engines in order; the request is sent to the first
 * @param tokenMillis expected time of one token over all hops
 * @param readMillis expected time to read the prompt over all hops
 */
public record StagePath(List<Hop> hops, double tokenMillis, double readMillis) {

    public StagePath {
        hops = List.copyOf(hops);
        int at = 0;
        for (Hop hop : hops) {
            if (hop.from() != at || hop.to() <= at) {
                throw new IllegalArgumentException("A path runs each layer once and in order; hops=" + hops);
            }
            at = hop.to();
        }
    }

    /** The engine that takes the request. */
    public BackendServer first() {
        return hops.get(0).server();
    }

    /** Number of hops that lead to another data centre. */
    public int crossings() {
        int crossings = 0;
        for (int i = 1; i < hops.size(); i++) {
            boolean same = hops.get(i)
                    .server()
                    .dataCentre()
                    .equals(hops.get(i - 1).server().dataCentre());
            crossings += same ? 0 : 1;
        }
        return crossings;
    }

    /** The hop on that engine. */
    public Optional<Hop> hop(BackendServerId id) {
        return hops.stream().filter(hop -> hop.server().id().equals(id)).findFirst();
    }

    /** The engines as one line for logs. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Hop hop : hops) {
            text.append(text.length() == 0 ? "" : ",").append(hop.server().id()).append('=');
            text.append(hop.from()).append('-').append(hop.to());
        }
        return text.toString();
    }
}
