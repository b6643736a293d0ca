package org.cornelramp.core.path;

import org.cornelramp.core.fleet.BackendServer;

/**
 * One engine of a path with the layers that it runs. Immutable, safe for use by any thread.
 *
 * @param server the engine
 * @param from first layer
 * @param to layer after the last
 */
public record Hop(BackendServer server, int from, int to) {

    /** Number of layers. */
    public int layers() {
        return to - from;
    }
}
