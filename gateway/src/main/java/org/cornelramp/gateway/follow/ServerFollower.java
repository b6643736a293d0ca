package org.cornelramp.gateway.follow;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerRegistry;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.NameValidator;
import org.cornelramp.gateway.route.Router;
import org.cornelramp.gateway.route.RouterEvent;
import org.cornelramp.platform.MetadataStore;
import org.cornelramp.platform.PlatformFault;
import org.cornelramp.platform.RegistrationDecoder;

/**
 * Reads the backend servers' registrations. Confined to its own thread, except for start and stop.
 *
 * <p>The store appends a record only if anything but the heartbeat's sequence number has changed, so long polls rarely
 * return while the servers are stable. A short pause after each read collects the records of many servers that change
 * together.
 */
public final class ServerFollower extends TopicFollower {
    private static final long PAUSE_MILLIS = 80;

    private final Router router;

    public ServerFollower(Dependencies parts, Router router) {
        super("servers", MetadataStore.Topic.SERVERS, parts);
        this.router = router;
    }

    /** Records count as read only if the router's ring buffer accepted them. */
    @Override
    boolean apply(MetadataStore.Page page, boolean complete) {
        return router.offer(new RouterEvent.RegistrationsRead(decode(page), complete, page.next(), page.era()));
    }

    @Override
    void onStoreStatus(boolean answers) {
        router.offer(new RouterEvent.StoreStatus(answers));
    }

    @Override
    void beforeStep(long nowMillis) {
        // peers' registrations are read only in the step itself
    }

    @Override
    long pauseMillis() {
        return PAUSE_MILLIS;
    }

    private List<ServerRegistry.Registration> decode(MetadataStore.Page page) {
        List<ServerRegistry.Registration> registrations = new ArrayList<>();
        for (MetadataStore.KeyedRecord record : page.records()) {
            if (!NameValidator.isValid(record.key())) {
                recordUnreadable(record.offset(), "its key is not a valid server name");
                continue;
            }
            BackendServerId name = new BackendServerId(record.key());
            Optional<BackendServer> server = record.value().flatMap(value -> decode(name, value, record.offset()));
            registrations.add(new ServerRegistry.Registration(record.offset(), name, server));
        }
        return registrations;
    }

    /**
     * Decodes a registration; empty if it is unreadable, so that an earlier registration under the same name is not
     * used any more.
     */
    private Optional<BackendServer> decode(BackendServerId name, byte[] value, long offset) {
        Either<PlatformFault, BackendServer> server = RegistrationDecoder.decode(name, value);
        if (server.isLeft()) {
            recordUnreadable(offset, server.getLeft().toString());
        }
        return server.toJavaOptional();
    }
}
