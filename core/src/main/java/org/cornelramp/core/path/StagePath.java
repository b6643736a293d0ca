package org.cornelramp.core.path;

import java.util.List;
import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.model.BackendServerId;

/**
 * A chain of engines that together run all layers of a model. Immutable, safe for use by any thread.
 *
 * <p>Invariant: the layer ranges of the hops are contiguous and do not overlap, so each layer runs once and in order.
 *
 * @param hops the engines in order; the request is sent to the first
 * @param tokenMillis expected time for one token over all hops, in milliseconds
 * @param readMillis expected time to read the prompt over all hops, in milliseconds
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

    /** Returns the engine to which the request is sent. */
    public BackendServer first() {
        return hops.get(0).server();
    }

    /** Returns the number of hops to another data centre. */
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

    /** Returns the hop that runs on an engine, if any. */
    public Optional<Hop> hop(BackendServerId id) {
        return hops.stream().filter(hop -> hop.server().id().equals(id)).findFirst();
    }

    /** Returns the engines and their layer ranges as one line for logs. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Hop hop : hops) {
            text.append(text.length() == 0 ? "" : ",").append(hop.server().id()).append('=');
            text.append(hop.from()).append('-').append(hop.to());
        }
        return text.toString();
    }
}
