package org.cornelramp.gateway.follow;

import io.vavr.control.Either;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.gateway.route.ConfigHolder;
import org.cornelramp.platform.ConfigDecoder;
import org.cornelramp.platform.MetadataStore;
import org.cornelramp.platform.StoreFault;

/**
 * Keeps the configuration in force up to date: each version is here as soon as the store has it. Used by its own
 * thread only, but for start and stop.
 */
public final class ConfigFollower extends Follower {
    private static final String KEY = "config";

    /** Pause while the operators have not written a configuration yet. */
    private static final long FIRST_MILLIS = 50;

    private final ConfigHolder holder;
    private final PeerVersions versions;

    /** @param versions tells which peer has a newer version than the store has shown */
    public ConfigFollower(Parts parts, ConfigHolder holder, PeerVersions versions) {
        super("config", MetadataStore.Topic.OPERATORS, parts);
        this.holder = holder;
        this.versions = versions;
    }

    @Override
    boolean take(MetadataStore.Page page, boolean whole) {
        page.records().forEach(this::take);
        return true;
    }

    @Override
    void storeAnswers(boolean answers) {
        // the servers' follower tells it for both
    }

    @Override
    void beforeStep(long nowMillis) {
        versions.toAsk(nowMillis).flatMap(host -> peers().config(host)).ifPresent(source -> take(source, "peer", -1));
    }

    @Override
    long pauseMillis() {
        return holder.current().isEmpty() ? FIRST_MILLIS : 0;
    }

    private void take(MetadataStore.KeyedRecord record) {
        if (record.key().equals(KEY)) {
            record.value().ifPresent(source -> take(source, "store", record.offset()));
        }
    }

    /** @param offset where the store has it; negative if it came from a peer */
    private void take(byte[] source, String from, long offset) {
        Either<StoreFault, RoutingConfig> config = ConfigDecoder.decode(source);
        if (config.isLeft()) {
            unreadable(offset, config.getLeft().toString());
            return;
        }
        boolean newer = holder.offer(config.get(), source);
        line(newer ? "in force" : "older than the one in force")
                .with("version", config.get().version())
                .with("from", from)
                .with("offset", offset)
                .with("routes", config.get().routeCount())
                .write();
    }
}
