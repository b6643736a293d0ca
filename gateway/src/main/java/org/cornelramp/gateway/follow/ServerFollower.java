package org.cornelramp.gateway.follow;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerRegistry;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Names;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.route.Router;
import org.cornelramp.gateway.route.RouterEvent;
import org.cornelramp.platform.MetadataStore;
import org.cornelramp.platform.RegistrationDecoder;
import org.cornelramp.platform.StoreFault;

/**
 * Reads the backend servers' registrations. Used by its own thread only, but for start and stop.
 *
 * <p>The store keeps a record only when more than a heartbeat's number has changed, so a call that waits for the next
 * record is rare on a calm day. A short pause after each gathers the records of many servers that change together.
 */
public final class ServerFollower extends Follower {
    private static final long PAUSE_MILLIS = 80;

    private final MetadataStore store;
    private final Router router;
    private final RecordCache cache;
    private final PeerRecords peers;
    private final SteadyClock clock;
    private final EventLog log;
    private final Meters meters;
    private long next = -1;

    public ServerFollower(
            MetadataStore store,
            Router router,
            RecordCache cache,
            PeerRecords peers,
            SteadyClock clock,
            EventLog log,
            Meters meters) {
        super("servers");
        this.cache = cache;
        this.peers = peers;
        this.clock = clock;
        this.store = store;
        this.router = router;
        this.log = log;
        this.meters = meters;
    }

    @Override
    long step() {
        boolean whole = next < 0;
        Either<StoreFault, MetadataStore.Page> page = whole
                ? store.newest(MetadataStore.Topic.SERVERS)
                : store.read(MetadataStore.Topic.SERVERS, next, LONG_POLL_MILLIS);
        if (page.isLeft()) {
            return fault(page.getLeft());
        }
        meters.storeCall("servers", "ok");
        router.offer(new RouterEvent.StoreAnswers(true));
        long end = page.get().next();
        cache.take(MetadataStore.Topic.SERVERS, page.get(), whole, clock.millis());
        // Only what the ring took counts as read; the rest is read again.
        if (router.offer(new RouterEvent.Registered(decode(page.get()), whole, end))) {
            next = end;
        }
        return PAUSE_MILLIS;
    }

    private long fault(StoreFault fault) {
        if (fault.kind() == StoreFault.Kind.GONE) {
            next = -1;
            return 0;
        }
        meters.storeCall("servers", fault.kind().name());
        router.offer(new RouterEvent.StoreAnswers(false));
        log.line("servers", "not read").with("fault", fault).write();
        peers.read(MetadataStore.Topic.SERVERS)
                .ifPresent(page -> router.offer(new RouterEvent.Registered(decode(page), true, page.next())));
        return -1;
    }

    private List<ServerRegistry.Registration> decode(MetadataStore.Page page) {
        List<ServerRegistry.Registration> registrations = new ArrayList<>();
        for (MetadataStore.KeyedRecord record : page.records()) {
            if (!Names.isValid(record.key())) {
                log.line("servers", "unreadable id")
                        .with("offset", record.offset())
                        .write();
                continue;
            }
            BackendServerId id = new BackendServerId(record.key());
            if (record.value().isEmpty()) {
                registrations.add(new ServerRegistry.Registration(record.offset(), id, Optional.empty()));
                continue;
            }
            Either<StoreFault, BackendServer> server =
                    RegistrationDecoder.decode(id, record.value().get());
            if (server.isLeft()) {
                log.line("servers", "unreadable")
                        .with("server", id)
                        .with("fault", server.getLeft())
                        .write();
            } else {
                registrations.add(new ServerRegistry.Registration(record.offset(), id, Optional.of(server.get())));
            }
        }
        return registrations;
    }

    @Override
    void failed(RuntimeException fault) {
        log.line("servers", "follower failed").with("fault", fault).write();
    }
}
