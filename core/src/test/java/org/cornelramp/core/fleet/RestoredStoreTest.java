package org.cornelramp.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.EngineFixtures;
import org.testng.annotations.Test;

/** What is believed of the registered servers when the store comes back from an older copy. */
public class RestoredStoreTest {
    private static final BackendServer SERVER = EngineFixtures.engine("s", "dc1", "t4", 0, 5);
    private static final BackendServerId ID = SERVER.id();
    private static final long CONFIRM_MILLIS = 6_100;

    private static ServerRegistry.Registration record(long offset, BackendServer server) {
        return new ServerRegistry.Registration(offset, ID, Optional.ofNullable(server));
    }

    private static ServerRegistry connected(ServerRegistry.Registration... records) {
        ServerRegistry registry = new ServerRegistry();
        registry.storeAnswers(true, 0);
        for (ServerRegistry.Registration record : records) {
            registry.apply(record, 1_000);
        }
        return registry;
    }

    /** Guards against offsets of before that hide a leave: the store gives them out again from the copy's end on. */
    @Test
    public void aLeaveBelowTheOldOffsetIsSeen() {
        ServerRegistry registry = connected(record(120, SERVER));
        registry.restore(List.of(record(90, SERVER)), 100, CONFIRM_MILLIS, 20_000);
        assertTrue(registry.apply(record(101, SERVER.withState(ServerState.DRAINING)), 20_100));
        assertEquals(registry.leavingSinceMillis(ID), Optional.of(20_100L));
    }

    /** Guards against a server that is given work again because the copy was made before it said that it leaves. */
    @Test
    public void aServerThatLeavesGoesOnLeaving() {
        ServerRegistry registry = connected(record(90, SERVER), record(120, SERVER.withState(ServerState.DRAINING)));
        registry.restore(List.of(record(90, SERVER)), 100, CONFIRM_MILLIS, 20_000);
        assertEquals(registry.leavingSinceMillis(ID), Optional.of(1_000L));
    }

    /** Guards against work for a removed server; one that still renews its registration is used in the end. */
    @Test
    public void aRemovedServerIsUsedOnceItsRegistrationHasOutlivedItsHeartbeats() {
        ServerRegistry registry = connected(record(90, SERVER), record(120, null));
        registry.restore(List.of(record(90, SERVER)), 100, CONFIRM_MILLIS, 20_000);
        registry.replaceAll(List.of(record(90, SERVER)), 100, 21_000);
        registry.expire(26_099);
        assertFalse(registry.server(ID).isPresent());
        registry.expire(26_100);
        assertTrue(registry.server(ID).isPresent());
    }

    /** Guards against a removed server that stays unused though it has registered again. */
    @Test
    public void aRemovedServerThatWritesAgainIsUsedAtOnce() {
        ServerRegistry registry = connected(record(90, SERVER), record(120, null));
        registry.restore(List.of(record(90, SERVER)), 100, CONFIRM_MILLIS, 20_000);
        assertTrue(registry.apply(record(104, SERVER), 20_200));
        assertTrue(registry.server(ID).isPresent());
    }

    /** Guards against a living server taken for gone because it registered in the seconds that the copy lacks. */
    @Test
    public void aServerThatTheCopyLacksHasTimeToRegisterAgain() {
        ServerRegistry registry = connected(record(120, SERVER));
        registry.restore(List.of(), 100, CONFIRM_MILLIS, 20_000);
        assertTrue(registry.server(ID).isPresent());
        registry.apply(record(102, SERVER), 21_000);
        registry.expire(40_000);
        assertTrue(registry.server(ID).isPresent());
        registry.restore(List.of(), 100, CONFIRM_MILLIS, 50_000);
        registry.expire(50_000 + ServerRegistry.RETURN_MILLIS);
        assertFalse(registry.server(ID).isPresent());
    }
}
