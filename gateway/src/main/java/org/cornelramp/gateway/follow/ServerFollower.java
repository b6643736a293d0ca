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

    private final Router router;

    public ServerFollower(Parts parts, Router router) {
        super("servers", MetadataStore.Topic.SERVERS, parts);
        this.router = router;
    }

    /** Only what the router's ring took counts as read. */
    @Override
    boolean take(MetadataStore.Page page, boolean whole) {
        return router.offer(new RouterEvent.Registered(decode(page), whole, page.next(), page.era()));
    }

    @Override
    void storeAnswers(boolean answers) {
        router.offer(new RouterEvent.StoreAnswers(answers));
    }

    @Override
    void beforeStep(long nowMillis) {
        // registrations come with the readings of peers alone
    }

    @Override
    long pauseMillis() {
        return PAUSE_MILLIS;
    }

    private List<ServerRegistry.Registration> decode(MetadataStore.Page page) {
        List<ServerRegistry.Registration> registrations = new ArrayList<>();
        for (MetadataStore.KeyedRecord record : page.records()) {
            if (!NameValidator.isValid(record.key())) {
                unreadable(record.offset(), "its key is no server's name");
                continue;
            }
            BackendServerId name = new BackendServerId(record.key());
            Optional<BackendServer> server = record.value().flatMap(value -> decode(name, value, record.offset()));
            registrations.add(new ServerRegistry.Registration(record.offset(), name, server));
        }
        return registrations;
    }

    /** A registration that cannot be read names no server to use, whatever stood under its name before. */
    private Optional<BackendServer> decode(BackendServerId name, byte[] value, long offset) {
        Either<StoreFault, BackendServer> server = RegistrationDecoder.decode(name, value);
        if (server.isLeft()) {
            unreadable(offset, server.getLeft().toString());
        }
        return server.toJavaOptional();
    }
}
