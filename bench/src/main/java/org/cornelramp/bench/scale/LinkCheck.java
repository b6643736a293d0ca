package org.cornelramp.bench.scale;

import java.time.Duration;
import java.util.Map;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetException;
import org.cornelramp.bench.fleet.Member;
import org.cornelramp.bench.measure.Meters;

/** Waits until a daemon has a link over which it receives heartbeats. Confined to one thread. */
final class LinkCheck {
    private static final Duration LIMIT = Duration.ofSeconds(15);
    private static final int FRAMES = 4;

    private final Fleet fleet;

    LinkCheck(Fleet fleet) {
        this.fleet = fleet;
    }

    void awaitLinked(Member member) {
        Fleet.await("a live link at " + member.name(), LIMIT, () -> receivedFrames(member) >= FRAMES);
    }

    private double receivedFrames(Member member) {
        try {
            String page = fleet.http()
                    .send("GET", member.url() + "/metrics", Map.of(), "")
                    .body();
            return new Meters(page).sum("cornelramp_link_frames_total", "direction=\"in\"");
        } catch (FleetException e) {
            return 0;
        }
    }
}
