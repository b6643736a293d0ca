package org.cornelramp.bench.gateway;

import org.cornelramp.platform.standin.StandInConfig;
import org.cornelramp.platform.standin.StandInStore;

/**
 * Publishes configurations. Each version serves a path that no other version does, so that a request to it shows from
 * outside whether a gateway applies that version. Safe for use by any thread.
 */
final class ConfigVersions {
    private final StandInStore store;
    private final StandInConfig first;
    private int version;
    private long publishedMillis;

    /**
     * The newest version. Immutable.
     *
     * @param publishedMillis when the store accepted it
     */
    record Newest(int version, long publishedMillis) {}

    ConfigVersions(StandInStore store, StandInConfig first) {
        this.store = store;
        this.first = first;
    }

    /** Path that only this version serves. */
    static String versionPath(int version) {
        return "/only-" + version + "/";
    }

    synchronized void publishNext(long nowMillis) {
        version++;
        store.publishConfig(first.withVersion(version, versionPath(version)).json());
        publishedMillis = nowMillis;
    }

    synchronized Newest newest() {
        return new Newest(version, publishedMillis);
    }
}
