package org.cornelramp.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.EngineFixtures;
import org.testng.annotations.Test;

/** What is believed of the registered servers, by the order of their records and the state of the store. */
public class ServerRegistryTest {
    private static final BackendServer SERVER = EngineFixtures.engine("s", "dc1", "t4", 0, 5);
    private static final BackendServerId ID = SERVER.id();

    private static ServerRegistry.Registration record(long offset, BackendServer server) {
        return new ServerRegistry.Registration(offset, ID, Optional.ofNullable(server));
    }

    private static ServerRegistry connected() {
        ServerRegistry registry = new ServerRegistry();
        registry.storeAnswers(true, 0);
        registry.apply(record(1, SERVER), 0);
        return registry;
    }

    /** Two reads overlap, and the older record comes last. The server had said that it leaves; it stays leaving. */
    @Test
    public void anOlderRecordUndoesNothing() {
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
     * The store was away for longer than a registration lasts, and returns without it although the server lives. It
     * goes on getting requests for the time in which it registers again; one that does not is gone then.
     */
    @Test
    public void aRegistrationThatRanOutWithTheStoreAwayHasTimeToReturn() {
        ServerRegistry registry = connected();
        registry.storeAnswers(false, 1_000);
        registry.storeAnswers(true, 9_000);
        registry.apply(record(8, null), 9_100);
        registry.expire(9_500);
        assertTrue(registry.server(ID).isPresent());
        registry.expire(9_000 + ServerRegistry.RETURN_MILLIS);
        assertEquals(registry.server(ID), Optional.empty());
    }

    @Test
    public void aServerThatRegistersAgainInTimeStays() {
        ServerRegistry registry = connected();
        registry.storeAnswers(false, 1_000);
        registry.storeAnswers(true, 9_000);
        registry.apply(record(8, null), 9_100);
        registry.apply(record(9, SERVER), 10_000);
        registry.expire(20_000);
        assertTrue(registry.server(ID).isPresent());
    }

    /** The store has forgotten its history; whoever is not among its newest records has gone meanwhile. */
    @Test
    public void aWholeReadRemovesWhoIsNotThere() {
        ServerRegistry registry = connected();
        registry.replaceAll(List.of(), 20, 60_000);
        assertEquals(registry.server(ID), Optional.empty());
    }

    /** A whole read that began before the newest record was written says nothing about its server. */
    @Test
    public void aWholeReadDoesNotRemoveWhoIsNewerThanIt() {
        ServerRegistry registry = connected();
        registry.apply(record(30, SERVER), 10);
        registry.replaceAll(List.of(), 20, 60_000);
        assertTrue(registry.server(ID).isPresent());
    }
}
