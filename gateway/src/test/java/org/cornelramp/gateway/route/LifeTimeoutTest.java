package org.cornelramp.gateway.route;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.gateway.Fakes;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.platform.EngineCalls;
import org.testng.annotations.Test;

/** How long servers have to give a sign of life. */
public class LifeTimeoutTest {
    /** Guards against whole answers of plain servers that are given up because all slots of the server are taken. */
    @Test
    public void plainServerHasTheTimeThatASlotTakesToBecomeFree() {
        long plain = timeoutOf(TestServers.plain("p1", 31));
        assertTrue(plain >= 500, plain + " ms");
    }

    /** Guards against crashes of engines, which tell their reports at once, that are seen late. */
    @Test
    public void engineHasToAnswerAtOnce() {
        long engine = timeoutOf(RouterSimulation.engine("a1", 11, 0, 8));
        assertTrue(engine <= 150, engine + " ms");
    }

    private static long timeoutOf(BackendServer server) {
        List<Long> timeouts = new ArrayList<>();
        EngineCalls calls = Fakes.of(EngineCalls.class, (name, args) -> {
            timeouts.add((Long) args[2]);
            return Optional.empty();
        });
        AsyncEngineControl control = new AsyncEngineControl(calls, Runnable::run, Runnable::run);
        assertTrue(control.askForLife(server, "/health", 1, event -> {}, 0));
        return timeouts.get(0);
    }
}
