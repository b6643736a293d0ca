package org.cornelramp.gateway.follow;

import io.vavr.control.Either;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.gateway.route.ConfigHolder;
import org.cornelramp.platform.ConfigDecoder;
import org.cornelramp.platform.MetadataStore;
import org.cornelramp.platform.PlatformFault;

/**
 * Keeps the configuration in force up to date with the store. Confined to its own thread, except for start and stop.
 */
public final class ConfigFollower extends TopicFollower {
    private static final String KEY = "config";

    /** Pause between two reads while there is no configuration yet. */
    private static final long NO_CONFIG_PAUSE_MILLIS = 50;

    private final ConfigHolder holder;
    private final PeerConfigVersions versions;

    /** @param versions names the peer that has a newer version than this process has read */
    public ConfigFollower(Dependencies parts, ConfigHolder holder, PeerConfigVersions versions) {
        super("config", MetadataStore.Topic.OPERATORS, parts);
        this.holder = holder;
        this.versions = versions;
    }

    @Override
    boolean apply(MetadataStore.Page page, boolean complete) {
        page.records().forEach(this::apply);
        return true;
    }

    @Override
    void onStoreStatus(boolean answers) {
        // reported by the ServerFollower for both
    }

    @Override
    void beforeStep(long nowMillis) {
        versions.peerToAsk(nowMillis)
                .flatMap(host -> peers().fetchConfig(host))
                .ifPresent(source -> apply(source, ReadCoordinator.Provider.PEER, -1));
    }

    @Override
    long pauseMillis() {
        return holder.current().isEmpty() ? NO_CONFIG_PAUSE_MILLIS : 0;
    }

    private void apply(MetadataStore.KeyedRecord record) {
        if (record.key().equals(KEY)) {
            record.value().ifPresent(source -> apply(source, applying(), record.offset()));
        }
    }

    /** @param offset offset of the record in the store; negative if the configuration was fetched on its own */
    private void apply(byte[] source, ReadCoordinator.Provider from, long offset) {
        long startMillis = nowMillis();
        Either<PlatformFault, RoutingConfig> config = ConfigDecoder.decode(source);
        if (config.isLeft()) {
            recordUnreadable(offset, config.getLeft().toString());
            return;
        }
        boolean newer = holder.offer(config.get(), source);
        long knowledgeAgeMillis = knowledgeAgeMillis();
        if (newer) {
            meters().recordConfigChange(from.label(), knowledgeAgeMillis);
        }
        line(newer ? "in force" : "older than the one in force")
                .with("version", config.get().version())
                .with("from", from.label())
                .with("offset", offset)
                .with("routes", config.get().routeCount())
                .with("bytes", source.length)
                .with("decodeMillis", nowMillis() - startMillis)
                .with("knowledgeAgeMillis", knowledgeAgeMillis)
                .write();
    }
}
