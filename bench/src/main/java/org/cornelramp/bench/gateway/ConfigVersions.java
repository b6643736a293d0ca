package org.cornelramp.bench.gateway;

import org.cornelramp.platform.standin.StandInConfig;
import org.cornelramp.platform.standin.StandInStore;

/**
 * Publishes configurations. Each version has a path of its own, which its successor takes away, so that a request tells
 * from outside which version a gateway goes by. Safe for use by any thread.
 */
final class ConfigVersions {
    private final StandInStore store;
    private final StandInConfig first;
    private int version;
    private long publishedMillis;

    /**
     * The newest version. Immutable.
     *
     * @param publishedMillis when the store took it
     */
    record Newest(int version, long publishedMillis) {}

    ConfigVersions(StandInStore store, StandInConfig first) {
        this.store = store;
        this.first = first;
    }

    /** Path that only this version serves. */
    static String mark(int version) {
        return "/only-" + version + "/";
    }

    synchronized void publishNext(long nowMillis) {
        version++;
        store.publishConfig(first.withVersion(version, mark(version)).json());
        publishedMillis = nowMillis;
    }

    synchronized Newest newest() {
        return new Newest(version, publishedMillis);
    }
}
