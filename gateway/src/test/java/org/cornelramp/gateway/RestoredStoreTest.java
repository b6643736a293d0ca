package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.time.Clock;
import java.util.List;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.core.settings.GatewaySettingsReader;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.platform.standin.FreePorts;
import org.cornelramp.platform.standin.StandInClient;
import org.cornelramp.platform.standin.StandInStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The store comes back from a copy some seconds old while a gateway serves. */
public class RestoredStoreTest {
    private static final int REQUESTS = 20;

    private GatewayFixture fixture;

    @BeforeMethod
    public void open() throws Exception {
        fixture = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
        fixture.close();
    }

    private void book(String id) throws Exception {
        assertEquals(fixture.client().send("/book/" + id, id, id).statusCode(), 200);
    }

    /** Serves requests, none of which may reach the first server. */
    private void bookWithoutTheFirst() throws Exception {
        long before = fixture.firstApp.received().size();
        for (int i = 0; i < REQUESTS; i++) {
            book("after-" + i);
        }
        assertEquals(fixture.firstApp.received().size(), before);
    }

    private void awaitRestored() throws Exception {
        GatewayFixture.await(() -> fixture.log().contains("\"event\":\"restored\""), "the copy is read");
    }

    private void leave() throws Exception {
        fixture.firstApp.register("draining");
        GatewayFixture.await(() -> fixture.log().contains("\"leaving\":1"), "the leave is read");
    }

    /** Puts version 2 in force, with which streams are served below another path, and restores the store from before it. */
    private void restoreFromBeforeVersion2() throws Exception {
        StandInStore.Copy copy = fixture.store.copy();
        fixture.store.publishConfig(GatewayFixture.config(2, "/talk/"));
        GatewayFixture.await(() -> chats("/talk/"), "version 2 is in force");
        fixture.store.restore(copy);
    }

    /**
     * Guards against work for a server that leaves: its offsets were given out again, so its leave came at an offset that
     * the gateway had already read.
     */
    @Test
    public void aLeaveAfterTheRestoreIsSeen() throws Exception {
        StandInStore.Copy copy = fixture.store.copy();
        for (int i = 0; i < 8; i++) {
            fixture.store.register("stranger-" + i, "{}");
        }
        book("before");
        fixture.store.restore(copy);
        awaitRestored();
        leave();
        bookWithoutTheFirst();
    }

    /** Guards against work for a server that had left: the copy was made before it said so, and lists it as ready. */
    @Test
    public void aServerThatHadLeftGetsNothing() throws Exception {
        StandInStore.Copy copy = fixture.store.copy();
        leave();
        fixture.store.restore(copy);
        awaitRestored();
        bookWithoutTheFirst();
    }

    /** Guards against a configuration that slips back, and against one that is never read, as its offset is not new. */
    @Test
    public void aVersionInForceStaysAndTheNextOneIsRead() throws Exception {
        restoreFromBeforeVersion2();
        GatewayFixture.await(() -> fixture.log().contains("older than the one in force"), "the older copy is read");
        assertTrue(chats("/talk/"));
        fixture.store.publishConfig(GatewayFixture.config(3, "/say/"));
        GatewayFixture.await(() -> chats("/say/"), "version 3 is in force");
    }

    /** Guards against an accepted change that callers of a starting gateway lose, as the copy still has the version before. */
    @Test
    public void aGatewayThatStartsTakesTheNewerVersionOfItsPeer() throws Exception {
        restoreFromBeforeVersion2();
        // Gateways of a deployment ask each other on the same port, each at an address of its own.
        GatewaySettings first = fixture.settings;
        List<Integer> free = FreePorts.take(2);
        List<Integer> ports = List.of(
                free.get(0),
                free.get(1),
                first.metrics().port(),
                first.peers().port(),
                first.store().port());
        String text = GatewayFixture.settingsText(ports, "")
                .replace("\"g1\"", "\"g2\"")
                .replace(first.metrics().toString(), "127.0.0.2:" + ports.get(2))
                .replace(first.peers().toString(), "127.0.0.2:" + ports.get(3));
        GatewaySettings settings = new GatewaySettingsReader().read(text).get();
        EventLog log = new EventLog(new ByteArrayOutputStream(), Clock.systemUTC(), "g2");
        try (Gateway started = new Gateway(settings, SteadyClock.system(), log)) {
            started.start();
            StandInClient client = new StandInClient(settings.requests(), GatewayFixture.KEY);
            GatewayFixture.await(() -> chats(client, "/talk/"), "version 2 is in force at the one that started");
        }
    }

    private boolean chats(String prefix) {
        return chats(fixture.client(), prefix);
    }

    private static boolean chats(StandInClient client, String prefix) {
        try {
            return client.send(prefix + "x", "chat-" + prefix, "x").statusCode() == 200;
        } catch (Exception e) {
            return false;
        }
    }
}
