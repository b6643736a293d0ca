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

/** The store is restored from a backup that is some seconds old while a gateway is running. */
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

    /** Sends bookings, none of which may reach the first server. */
    private void assertFirstServerGetsNoBookings() throws Exception {
        long before = fixture.firstApp.received().size();
        for (int i = 0; i < REQUESTS; i++) {
            book("after-" + i);
        }
        assertEquals(fixture.firstApp.received().size(), before);
    }

    private void awaitRestored() throws Exception {
        GatewayFixture.await(() -> fixture.log().contains("\"event\":\"restored\""), "the restored store is read");
    }

    private void announceLeaving() throws Exception {
        fixture.firstApp.register("draining");
        GatewayFixture.await(() -> fixture.log().contains("\"leaving\":1"), "the notice is read");
    }

    /**
     * Puts version 2 in force, which serves streams below another path, and restores the store from a backup without
     * it.
     */
    private void restoreFromBeforeVersion2() throws Exception {
        StandInStore.Snapshot copy = fixture.store.snapshot();
        fixture.store.publishConfig(GatewayFixture.config(2, "/talk/"));
        GatewayFixture.await(() -> servesChats("/talk/"), "version 2 is in force");
        fixture.store.restore(copy);
    }

    /**
     * Guards against requests to a leaving server: the restored store reuses offsets, so the server's notice that it
     * leaves has an offset that the gateway has already read.
     */
    @Test
    public void noticeOfLeavingAfterTheRestoreIsRead() throws Exception {
        StandInStore.Snapshot copy = fixture.store.snapshot();
        for (int i = 0; i < 8; i++) {
            fixture.store.register("stranger-" + i, "{}");
        }
        book("before");
        fixture.store.restore(copy);
        awaitRestored();
        announceLeaving();
        assertFirstServerGetsNoBookings();
    }

    /**
     * Guards against requests to a server that has left: the backup is older than its notice and lists the server as
     * ready.
     */
    @Test
    public void serverThatHadLeftGetsNoRequests() throws Exception {
        StandInStore.Snapshot copy = fixture.store.snapshot();
        announceLeaving();
        fixture.store.restore(copy);
        awaitRestored();
        assertFirstServerGetsNoBookings();
    }

    /**
     * Guards against a return to an older configuration, and against a newer one that is skipped because its offset is
     * reused.
     */
    @Test
    public void versionInForceStaysAndTheNextOneIsRead() throws Exception {
        restoreFromBeforeVersion2();
        GatewayFixture.await(() -> fixture.log().contains("older than the one in force"), "the older version is read");
        assertTrue(servesChats("/talk/"));
        fixture.store.publishConfig(GatewayFixture.config(3, "/say/"));
        GatewayFixture.await(() -> servesChats("/say/"), "version 3 is in force");
    }

    /**
     * Guards against a gateway that starts with an outdated configuration because the restored store lacks the newest
     * version.
     */
    @Test
    public void startingGatewayTakesTheNewerVersionFromItsPeer() throws Exception {
        restoreFromBeforeVersion2();
        // Gateways of a deployment contact each other on the same port, each at an address of its own.
        GatewaySettings first = fixture.settings;
        List<Integer> free = FreePorts.find(2);
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
            GatewayFixture.await(() -> servesChats(client, "/talk/"), "version 2 is in force at the started gateway");
        }
    }

    private boolean servesChats(String prefix) {
        return servesChats(fixture.client(), prefix);
    }

    private static boolean servesChats(StandInClient client, String prefix) {
        try {
            return client.send(prefix + "x", "chat-" + prefix, "x").statusCode() == 200;
        } catch (Exception e) {
            return false;
        }
    }
}
