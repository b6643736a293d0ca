package org.cornelramp.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.testng.annotations.Test;

/** Which route and organisation a request belongs to. */
public class RoutingConfigTest {
    private static Route route(String name, String host, String prefix, boolean anonymous) {
        List<WeightedService> split = List.of(new WeightedService(new ServiceName("app"), 1));
        return new Route(name, host, prefix, RouteKind.SAFE, 800, 300, 0, 1, 2, anonymous, false, split);
    }

    private static final RoutingConfig CONFIG = new RoutingConfig(
            3,
            List.of(
                    route("short", "a.example", "/x/", false),
                    route("long", "a.example", "/x/y/", true),
                    route("other", "b.example", "/x/y/z/", false)),
            List.of(),
            Map.of("key", new RoutingConfig.Organisation(new OrganisationId("org"), Optional.of(1))),
            true,
            ClientLimits.DEFAULTS);

    @Test
    public void longestPrefixOfTheHostMatches() {
        assertEquals(CONFIG.route("a.example", "/x/y/z/1").orElseThrow().name(), "long");
        assertEquals(CONFIG.route("a.example", "/x/1").orElseThrow().name(), "short");
        assertEquals(CONFIG.route("b.example", "/x/1"), Optional.empty());
        assertEquals(CONFIG.route("c.example", "/x/1"), Optional.empty());
    }

    @Test
    public void onlyAnonymousRoutesRequireNoKey() {
        assertTrue(CONFIG.requiresKey(CONFIG.route("a.example", "/x/1").orElseThrow()));
        assertFalse(CONFIG.requiresKey(CONFIG.route("a.example", "/x/y/1").orElseThrow()));
        assertEquals(CONFIG.organisation("key").orElseThrow().id(), new OrganisationId("org"));
        assertEquals(CONFIG.organisation("gone"), Optional.empty());
    }

    @Test
    public void splitChoosesTheServiceByTheDraw() {
        Route split = new Route(
                "split",
                "a",
                "/",
                RouteKind.STREAMING,
                1,
                1,
                0,
                1,
                2,
                false,
                true,
                List.of(
                        new WeightedService(new ServiceName("most"), 90),
                        new WeightedService(new ServiceName("few"), 10)));
        assertEquals(split.service(0.0), new ServiceName("most"));
        assertEquals(split.service(0.89), new ServiceName("most"));
        assertEquals(split.service(0.91), new ServiceName("few"));
        assertTrue(split.mayRetry());
    }

    @Test
    public void routeKindDecidesWhetherRequestsMayBeRepeated() {
        assertTrue(RouteKind.SAFE.mayRetry(false));
        assertFalse(RouteKind.UNSAFE.mayRetry(true));
        assertFalse(RouteKind.STREAMING.mayRetry(false));
        assertTrue(RouteKind.STREAMING.mayRetry(true));
    }
}
