package org.cornelramp.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.EngineFixtures;
import org.testng.annotations.Test;

/** State of the registered servers after the store is restored from an older copy. */
public class RestoredStoreTest {
    private static final BackendServer SERVER = EngineFixtures.engine("s", "dc1", "t4", 0, 5);
    private static final BackendServerId ID = SERVER.id();
    private static final long CONFIRM_MILLIS = 6_100;

    private static ServerRegistry.Registration record(long offset, BackendServer server) {
        return new ServerRegistry.Registration(offset, ID, Optional.ofNullable(server));
    }

    private static ServerRegistry connected(ServerRegistry.Registration... records) {
        ServerRegistry registry = new ServerRegistry();
        registry.setStoreAvailable(true, 0);
        for (ServerRegistry.Registration record : records) {
            registry.apply(record, 1_000);
        }
        return registry;
    }

    /** Guards against a leave that is ignored because the restored store assigns offsets again from the end of its copy. */
    @Test
    public void aLeaveWithAReusedOffsetIsApplied() {
        ServerRegistry registry = connected(record(120, SERVER));
        registry.restore(List.of(record(90, SERVER)), 100, CONFIRM_MILLIS, 20_000);
        assertTrue(registry.apply(record(101, SERVER.withState(ServerState.DRAINING)), 20_100));
        assertEquals(registry.leavingSinceMillis(ID), Optional.of(20_100L));
    }

    /** Guards against new work for a leaving server because the copy is older than its leave. */
    @Test
    public void aLeavingServerRemainsLeaving() {
        ServerRegistry registry = connected(record(90, SERVER), record(120, SERVER.withState(ServerState.DRAINING)));
        registry.restore(List.of(record(90, SERVER)), 100, CONFIRM_MILLIS, 20_000);
        assertEquals(registry.leavingSinceMillis(ID), Optional.of(1_000L));
    }

    /** Guards against work for a removed server. One that still renews its registration is used after the expiry time. */
    @Test
    public void aRemovedServerIsUsedOnceItsRegistrationOutlastsTheExpiryTime() {
        ServerRegistry registry = connected(record(90, SERVER), record(120, null));
        registry.restore(List.of(record(90, SERVER)), 100, CONFIRM_MILLIS, 20_000);
        registry.replaceAll(List.of(record(90, SERVER)), 100, 21_000);
        registry.expire(26_099);
        assertFalse(registry.server(ID).isPresent());
        registry.expire(26_100);
        assertTrue(registry.server(ID).isPresent());
    }

    /** Guards against a removed server that stays unused although it has registered again. */
    @Test
    public void aRemovedServerThatRegistersAgainIsUsedAtOnce() {
        ServerRegistry registry = connected(record(90, SERVER), record(120, null));
        registry.restore(List.of(record(90, SERVER)), 100, CONFIRM_MILLIS, 20_000);
        assertTrue(registry.apply(record(104, SERVER), 20_200));
        assertTrue(registry.server(ID).isPresent());
    }

    /** Guards against dropping a running server because it registered in the seconds that the copy lacks. */
    @Test
    public void aServerMissingFromTheCopyHasTimeToRegisterAgain() {
        ServerRegistry registry = connected(record(120, SERVER));
        registry.restore(List.of(), 100, CONFIRM_MILLIS, 20_000);
        assertTrue(registry.server(ID).isPresent());
        registry.apply(record(102, SERVER), 21_000);
        registry.expire(40_000);
        assertTrue(registry.server(ID).isPresent());
        registry.restore(List.of(), 100, CONFIRM_MILLIS, 50_000);
        registry.expire(50_000 + ServerRegistry.REGISTRATION_GRACE_MILLIS);
        assertFalse(registry.server(ID).isPresent());
    }
}
