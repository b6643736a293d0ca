package org.cornelramp.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cornelramp.core.model.BackendServerId;

/** On how many servers a request that keeps breaking off is run. */
class RunLimitProperties {
    private static final int SERVERS = 12;

    private static BackendServerId server(int number) {
        return new BackendServerId("i-" + number);
    }

    /**
     * A client's stream breaks off again and again; each time it is started anew on a server that the limit allows,
     * whichever that is, while servers die. The living servers that have run it are never more than the route allows.
     */
    @Property(seed = "20261203")
    void neverRunsOnMoreLivingServersThanAllowed(
            @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 0, max = SERVERS - 1) Integer> choices,
            @ForAll @Size(max = 6) Set<@IntRange(min = 0, max = SERVERS - 1) Integer> dying,
            @ForAll @IntRange(min = 1, max = 4) int most) {
        Set<BackendServerId> ran = new HashSet<>();
        Set<BackendServerId> dead = new HashSet<>();
        for (int i = 0; i < choices.size(); i++) {
            Set<BackendServerId> allowed = RequestServerLimit.allowedServers(ran, id -> !dead.contains(id), most);
            BackendServerId wanted = server(choices.get(i));
            if (!dead.contains(wanted) && (allowed.isEmpty() || allowed.contains(wanted))) {
                ran.add(wanted);
            }
            if (i % 4 == 3) {
                dying.stream().limit(i / 4).forEach(one -> dead.add(server(one)));
            }
            long living = ran.stream().filter(id -> !dead.contains(id)).count();
            assertTrue(living <= most, living + " servers have run it, " + most + " are allowed");
        }
    }

    /** Two of two allowed servers have run the request; when one dies, any other may take its place. */
    @Property(tries = 1)
    void aDeadServerMakesRoomForAnother() {
        Set<BackendServerId> ran = Set.of(server(1), server(2));
        assertEquals(RequestServerLimit.allowedServers(ran, id -> true, 2), ran);
        assertEquals(RequestServerLimit.allowedServers(ran, id -> !id.equals(server(1)), 2), Set.of());
    }
}
