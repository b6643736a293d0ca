package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

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

    private void awaitRestored() throws Exception {
        GatewayFixture.await(() -> fixture.log().contains("\"event\":\"restored\""), "the copy is read");
    }

    private void leave() throws Exception {
        fixture.firstApp.register("draining");
        GatewayFixture.await(() -> fixture.log().contains("\"leaving\":1"), "the leave is read");
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
        long before = fixture.firstApp.received().size();
        for (int i = 0; i < REQUESTS; i++) {
            book("after-" + i);
        }
        assertEquals(fixture.firstApp.received().size(), before);
    }

    /** Guards against work for a server that had left: the copy was made before it said so, and lists it as ready. */
    @Test
    public void aServerThatHadLeftGetsNothing() throws Exception {
        StandInStore.Copy copy = fixture.store.copy();
        leave();
        fixture.store.restore(copy);
        awaitRestored();
        long before = fixture.firstApp.received().size();
        for (int i = 0; i < REQUESTS; i++) {
            book("after-" + i);
        }
        assertEquals(fixture.firstApp.received().size(), before);
    }

    /** Guards against a configuration that slips back, and against one that is never read, as its offset is not new. */
    @Test
    public void aVersionInForceStaysAndTheNextOneIsRead() throws Exception {
        StandInStore.Copy copy = fixture.store.copy();
        fixture.store.publishConfig(GatewayFixture.config(2, "/talk/"));
        GatewayFixture.await(() -> chats("/talk/"), "version 2 is in force");
        fixture.store.restore(copy);
        GatewayFixture.await(() -> fixture.log().contains("older than the one in force"), "the older copy is read");
        assertTrue(chats("/talk/"));
        fixture.store.publishConfig(GatewayFixture.config(3, "/say/"));
        GatewayFixture.await(() -> chats("/say/"), "version 3 is in force");
    }

    private boolean chats(String prefix) {
        try {
            return fixture.client().send(prefix + "x", "chat-" + prefix, "x").statusCode() == 200;
        } catch (Exception e) {
            return false;
        }
    }
}
