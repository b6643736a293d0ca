package org.cornelramp.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.EngineFixtures;
import org.testng.annotations.Test;

/** State of the registered servers, depending on the order of their records and the availability of the store. */
public class ServerRegistryTest {
    private static final BackendServer SERVER = EngineFixtures.engine("s", "dc1", "t4", 0, 5);
    private static final BackendServerId ID = SERVER.id();

    private static ServerRegistry.Registration record(long offset, BackendServer server) {
        return new ServerRegistry.Registration(offset, ID, Optional.ofNullable(server));
    }

    private static ServerRegistry connected() {
        ServerRegistry registry = new ServerRegistry();
        registry.setStoreAvailable(true, 0);
        registry.apply(record(1, SERVER), 0);
        return registry;
    }

    /** Two reads overlap and the older record arrives last; a leaving server must remain leaving. */
    @Test
    public void anOlderRecordDoesNotUndoANewerOne() {
        ServerRegistry registry = connected();
        registry.apply(record(5, SERVER.withState(ServerState.DRAINING)), 10);
        assertFalse(registry.apply(record(4, SERVER), 20));
        assertEquals(registry.server(ID).orElseThrow().state(), ServerState.DRAINING);
        assertEquals(registry.leavingSinceMillis(ID), Optional.of(10L));
    }

    @Test
    public void aRemovedServerDoesNotComeBackWithAnOldRecord() {
        ServerRegistry registry = connected();
        registry.apply(record(7, null), 10);
        assertFalse(registry.apply(record(6, SERVER), 20));
        assertEquals(registry.server(ID), Optional.empty());
    }

    /**
     * The store was down for longer than a registration lasts, and returns without it although the server runs. The server
     * stays in use for the grace period and is removed if it does not register again within it.
     */
    @Test
    public void aRegistrationThatExpiredDuringAnOutageHasAGracePeriod() {
        ServerRegistry registry = connected();
        registry.setStoreAvailable(false, 1_000);
        registry.setStoreAvailable(true, 9_000);
        registry.apply(record(8, null), 9_100);
        registry.expire(9_500);
        assertTrue(registry.server(ID).isPresent());
        registry.expire(9_000 + ServerRegistry.REGISTRATION_GRACE_MILLIS);
        assertEquals(registry.server(ID), Optional.empty());
    }

    @Test
    public void aServerThatRegistersAgainWithinTheGracePeriodStays() {
        ServerRegistry registry = connected();
        registry.setStoreAvailable(false, 1_000);
        registry.setStoreAvailable(true, 9_000);
        registry.apply(record(8, null), 9_100);
        registry.apply(record(9, SERVER), 10_000);
        registry.expire(20_000);
        assertTrue(registry.server(ID).isPresent());
    }

    /** The store no longer has its history; a server that is missing from its newest records has gone. */
    @Test
    public void aCompleteReadRemovesMissingServers() {
        ServerRegistry registry = connected();
        registry.replaceAll(List.of(), 20, 60_000);
        assertEquals(registry.server(ID), Optional.empty());
    }

    /** A complete read that began before the newest record of a server was written does not remove the server. */
    @Test
    public void aCompleteReadDoesNotRemoveANewerServer() {
        ServerRegistry registry = connected();
        registry.apply(record(30, SERVER), 10);
        registry.replaceAll(List.of(), 20, 60_000);
        assertTrue(registry.server(ID).isPresent());
    }
}
