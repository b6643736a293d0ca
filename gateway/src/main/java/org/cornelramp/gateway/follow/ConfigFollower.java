package org.cornelramp.gateway.follow;

import io.vavr.control.Either;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
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

    private final MetadataStore store;
    private final ConfigHolder holder;
    private final RecordCache cache;
    private final PeerRecords peers;
    private final SteadyClock clock;
    private final EventLog log;
    private final Meters meters;
    private long next = -1;

    public ConfigFollower(
            MetadataStore store,
            ConfigHolder holder,
            RecordCache cache,
            PeerRecords peers,
            SteadyClock clock,
            EventLog log,
            Meters meters) {
        super("config");
        this.cache = cache;
        this.peers = peers;
        this.clock = clock;
        this.store = store;
        this.holder = holder;
        this.log = log;
        this.meters = meters;
    }

    @Override
    long step() {
        Either<StoreFault, MetadataStore.Page> page = next < 0
                ? store.newest(MetadataStore.Topic.OPERATORS)
                : store.read(MetadataStore.Topic.OPERATORS, next, LONG_POLL_MILLIS);
        if (page.isLeft()) {
            return fault(page.getLeft());
        }
        meters.storeCall("config", "ok");
        cache.take(MetadataStore.Topic.OPERATORS, page.get(), next < 0, clock.millis());
        page.get().records().forEach(this::take);
        boolean nothingYet = next < 0 && holder.current().isEmpty();
        next = page.get().next();
        return nothingYet ? 50 : 0;
    }

    private long fault(StoreFault fault) {
        if (fault.kind() == StoreFault.Kind.GONE) {
            next = -1;
            return 0;
        }
        meters.storeCall("config", fault.kind().name());
        log.line("config", "not read").with("fault", fault).write();
        peers.read(MetadataStore.Topic.OPERATORS)
                .ifPresent(page -> page.records().forEach(this::take));
        return -1;
    }

    private void take(MetadataStore.KeyedRecord record) {
        if (!record.key().equals(KEY) || record.value().isEmpty()) {
            return;
        }
        Either<StoreFault, RoutingConfig> config =
                ConfigDecoder.decode(record.value().get());
        if (config.isLeft()) {
            log.line("config", "unreadable")
                    .with("offset", record.offset())
                    .with("fault", config.getLeft())
                    .write();
            return;
        }
        boolean newer = holder.offer(config.get());
        log.line("config", newer ? "in force" : "older than the one in force")
                .with("version", config.get().version())
                .with("offset", record.offset())
                .with("routes", config.get().routeCount())
                .write();
    }

    @Override
    void failed(RuntimeException fault) {
        log.line("config", "follower failed").with("fault", fault).write();
    }
}
