package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.cornelramp.platform.standin.StandInServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Records of another writer among the registrations and the configurations of a store. */
public class OddRegistrationsTest {
    private static final Set<String> DUTIES = Set.of("router", "servers", "config", "lease", "placement", "peers");

    private GatewayFixture fixture;

    @BeforeMethod
    public void start() throws Exception {
        fixture = new GatewayFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
    }

    private static String entry(String service, String port, String slots) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"dc1\",\"slots\":"
                + slots + ",\"state\":\"ready\"}";
    }

    /** Entries that are nested too deeply, hold numbers out of range, or name no possible address. */
    private static List<String> oddEntries() {
        List<String> odd = new ArrayList<>();
        for (int depth : new int[] {900, 5_000, 30_000}) {
            odd.add("[".repeat(depth) + "]".repeat(depth));
            odd.add("{\"a\":".repeat(depth) + "1" + "}".repeat(depth));
            odd.add("{\"service\":" + "[".repeat(depth));
        }
        for (String service : new String[] {"llm", "app"}) {
            for (String port : new String[] {"0", "-1", "65536", "99999999999999", "x", ""}) {
                odd.add(entry(service, port, "4"));
            }
            for (String slots : new String[] {"1e999999999", "9".repeat(5_000), "-7", "2147483648", "0.5", "null"}) {
                odd.add(entry(service, "9", slots));
            }
        }
        return odd;
    }

    private static Set<String> threads() {
        return Thread.getAllStackTraces().keySet().stream().map(Thread::getName).collect(Collectors.toSet());
    }

    /** Guards against gateways that end, or stop following the list of servers, because of an odd entry in it. */
    @Test
    public void changesAfterOddRegistrationsAreFollowed() throws Exception {
        Set<String> before = threads();
        int number = 0;
        for (String odd : oddEntries()) {
            fixture.store.register("odd-" + number, odd);
            fixture.store.register(fixture.secondApp.id() + number, odd);
            number++;
        }
        try (StandInServer added = new StandInServer(fixture.store, "a3", "app", "dc1", "")) {
            fixture.firstApp.register("draining");
            fixture.secondApp.register("draining");
            GatewayFixture.await(() -> books("added") && !added.received().isEmpty(), "the added server is used");
            int earlier = fixture.firstApp.received().size()
                    + fixture.secondApp.received().size();
            for (int i = 0; i < 10; i++) {
                assertTrue(books("later-" + i));
            }
            assertEquals(
                    fixture.firstApp.received().size()
                            + fixture.secondApp.received().size(),
                    earlier);
        }
        before.retainAll(DUTIES);
        assertTrue(threads().containsAll(before), before.toString());
    }

    /** Guards against gateways that stop following the configuration because of an odd record of it. */
    @Test
    public void configurationAfterOddOnesIsFollowed() throws Exception {
        int version = 50;
        for (String odd : oddEntries()) {
            fixture.store.publishConfig(odd);
            fixture.store.publishConfig("{\"version\":" + version + ",\"routes\":" + odd + "}");
            version++;
        }
        fixture.store.publishConfig(GatewayFixture.config(100, "/talk/"));
        GatewayFixture.await(() -> status("/talk/a", "new") == 200, "the new route is served");
        assertEquals(status("/chat/a", "old"), 404);
    }

    private boolean books(String id) {
        return status("/book/a", id) == 200;
    }

    private int status(String path, String id) {
        try {
            return fixture.client().send(path, id, id).statusCode();
        } catch (Exception e) {
            return 0;
        }
    }
}
