package org.cornelramp.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.cornelramp.core.member.GatewayStatus;
import org.cornelramp.core.member.PeerStatus;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.testng.annotations.Test;

/** How a gateway with a fifth of a core, all of which it uses, treats its connections. */
public class CapacityMonitorTest {
    private static final int RESPONSES = 2_000;

    private final AtomicLong now = new AtomicLong();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final EventLog log = new EventLog(logged, Clock.systemUTC(), "g1");
    private final Meters meters = new Meters();

    private CapacityMonitor overloaded(PeerStatus... peers) {
        CapacityMonitor.Sources sources =
                new CapacityMonitor.Sources(() -> now.get() * 200_000, () -> 100, () -> 3, () -> List.of(peers));
        GatewaySettings.Limits limits = new GatewaySettings.Limits(0.2, 1, Optional.empty(), 0.25);
        CapacityMonitor monitor = new CapacityMonitor("g1", limits, sources, now::get, log, meters);
        for (int i = 0; i < 10; i++) {
            now.addAndGet(500);
            monitor.update();
        }
        return monitor;
    }

    private static long closes(CapacityMonitor monitor) {
        long closes = 0;
        for (int i = 0; i < RESPONSES; i++) {
            closes += monitor.closesNext() ? 1 : 0;
        }
        return closes;
    }

    /** Guards against closed connections and refused checks before the updates of peers contain statuses. */
    @Test
    public void nothingChangesWithoutStatuses() {
        CapacityMonitor monitor = overloaded();
        assertEquals(closes(monitor), 0);
        assertTrue(monitor.isReady());
        assertEquals(monitor.status(true), new GatewayStatus(0.2, 1.25, true));
        assertFalse(monitor.status(false).ready());
    }

    /** Guards against a share that is not kept, a change without its inputs in the log, and closes that are not counted. */
    @Test
    public void aShareOfTheResponsesCloses() {
        CapacityMonitor monitor = overloaded(new PeerStatus("g2", new GatewayStatus(1.5, 0.1, true), 120));
        long closes = closes(monitor);
        assertTrue(closes > RESPONSES / 5 && closes < RESPONSES * 3 / 10, "closes: " + closes);
        assertTrue(meters.scrape().contains("cornelramp_gateway_capacity_closes_total " + (double) closes));
        log.start();
        log.stop();
        String lines = logged.toString(StandardCharsets.UTF_8);
        assertEquals(lines.lines().count(), 1, lines);
        assertTrue(lines.contains("\"closing\":\"true\",\"closeShare\":\"0.250\",\"load\":\"1.250\""), lines);
        assertTrue(lines.contains("\"fresh\":1,") && lines.contains("\"oldestMillis\":120"), lines);
    }
}
