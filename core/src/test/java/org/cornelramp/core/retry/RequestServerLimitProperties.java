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

/** Number of servers on which a request runs that repeatedly breaks off. */
class RequestServerLimitProperties {
    private static final int SERVERS = 12;

    private static BackendServerId server(int number) {
        return new BackendServerId("i-" + number);
    }

    /**
     * A stream breaks off repeatedly and is restarted each time on any server that the limit allows, while servers die.
     * The number of live servers that have run it never exceeds the limit of the route.
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

    /** Two of two allowed servers have run the request; when one of them dies, any other server may run it. */
    @Property(tries = 1)
    void aDeadServerDoesNotCount() {
        Set<BackendServerId> ran = Set.of(server(1), server(2));
        assertEquals(RequestServerLimit.allowedServers(ran, id -> true, 2), ran);
        assertEquals(RequestServerLimit.allowedServers(ran, id -> !id.equals(server(1)), 2), Set.of());
    }
}
