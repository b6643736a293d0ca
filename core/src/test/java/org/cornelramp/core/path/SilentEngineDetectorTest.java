package org.cornelramp.core.path;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.path.SilentEngineDetector.StreamActivity;
import org.testng.annotations.Test;

/** Engines that are probed when the events of streams stop; usually an event arrives every 27 ms. */
public class SilentEngineDetectorTest {
    private static final long NOW = 100_000;
    private static final double USUAL_INTERVAL_MILLIS = 27;

    private static List<BackendServerId> path(String dataCentre, int engines) {
        return IntStream.range(0, engines)
                .mapToObj(i -> new BackendServerId(dataCentre + "-" + i))
                .toList();
    }

    private static StreamActivity stream(List<BackendServerId> path, long silentMillis) {
        return new StreamActivity(path, NOW - silentMillis, true, USUAL_INTERVAL_MILLIS);
    }

    private static Set<String> suspects(List<StreamActivity> streams) {
        return SilentEngineDetector.findSuspects(streams, false, NOW).stream()
                .map(BackendServerId::value)
                .collect(Collectors.toSet());
    }

    /**
     * Thirty streams run over two copies in one data centre that share engines, and one engine dies. All streams through
     * it fall silent; the others pass every engine but the dead one, which alone is probed.
     */
    @Test
    public void suspectsTheOneEngineThatNoEventPasses() {
        List<BackendServerId> one = path("dc1", 8);
        List<BackendServerId> other = new ArrayList<>(one);
        other.set(5, new BackendServerId("dc1-spare"));
        List<StreamActivity> streams = new ArrayList<>();
        for (int i = 0; i < 15; i++) {
            streams.add(stream(one, 115 + i));
            streams.add(stream(other, i));
        }
        assertEquals(suspects(streams), Set.of("dc1-5"));
    }

    /**
     * Guards against live engines that are taken for dead by a gateway whose CPU is saturated after its start: answers to
     * its probes arrive too late while events still arrive. An engine that events pass is alive; one whose streams are
     * silent may be dead.
     */
    @Test
    public void anEngineThatEventsPassIsAlive() {
        List<StreamActivity> streams = List.of(stream(path("dc1", 8), 30), stream(path("dc2", 8), 130));
        assertTrue(SilentEngineDetector.hasRecentEvents(streams, new BackendServerId("dc1-3"), NOW));
        assertFalse(SilentEngineDetector.hasRecentEvents(streams, new BackendServerId("dc2-3"), NOW));
    }

    /** No other stream passes the path, so any of its engines may be the dead one. */
    @Test
    public void suspectsTheWholePathOfASingleStream() {
        assertEquals(suspects(List.of(stream(path("dc1", 8), 120))).size(), 8);
    }

    /** Under load an event arrives every 60 ms in each stream; a gap of 200 ms is usual then and causes no probe. */
    @Test
    public void aGapThatIsUsualForTheStreamSuspectsNoEngine() {
        StreamActivity slow = new StreamActivity(path("dc1", 8), NOW - 200, true, 60);
        assertEquals(suspects(List.of(slow)), Set.of());
        assertEquals(suspects(List.of(stream(path("dc1", 8), 100))), Set.of());
    }

    /** Reading a prompt takes longer than an event, so the limit before the first event is higher. */
    @Test
    public void waitsLongerForTheFirstEvent() {
        StreamActivity reading = new StreamActivity(path("dc1", 2), NOW - 400, false, 0);
        assertEquals(suspects(List.of(reading)), Set.of());
        StreamActivity due = new StreamActivity(path("dc1", 2), NOW - 401, false, 0);
        assertEquals(suspects(List.of(due)).size(), 2);
    }

    /**
     * Guards against streams that are cancelled because an engine of their path did not answer a probe. While events
     * arrive at the usual interval, also at a long one, the stream is active; after some usual intervals without an event
     * it has stopped. A dead engine is found after a silence of at least 100 ms, by which time streams with the usual
     * interval of 27 ms have stopped.
     */
    @Test
    public void aStreamIsActiveWhileEventsArriveAtTheUsualInterval() {
        List<BackendServerId> path = path("dc1", 8);
        assertTrue(stream(path, 50).isActive(NOW));
        assertFalse(stream(path, 100).isActive(NOW));
        assertTrue(new StreamActivity(path, NOW - 250, true, 150).isActive(NOW), "a slow stream");
        assertFalse(new StreamActivity(path, NOW - 310, true, 150).isActive(NOW), "a slow stream that has stopped");
        assertFalse(new StreamActivity(path, NOW - 1_100, true, 900).isActive(NOW), "however slow it is");
        assertTrue(new StreamActivity(path, NOW - 200, true, 0).isActive(NOW), "after its first event");
        assertFalse(new StreamActivity(path, NOW - 10, false, 0).isActive(NOW), "before its first event");
    }

    private static StreamActivity slow(List<BackendServerId> path, long silentMillis) {
        return new StreamActivity(path, NOW - silentMillis, true, 90);
    }

    /**
     * In a fleet of 130 engines events arrive every 90 ms, and three streams of this gateway pass an engine that dies.
     * Guards against streams that count as silent only after 300 ms, when their clients already regard them as late.
     * Three silences of 130 ms at once are rarer than a single one of 360 ms, so the engine is probed early enough to
     * continue the streams on another path. With ten streams 70 ms are enough, but no less: the events of all of them may
     * be delayed together for that long.
     */
    @Test
    public void silencesOfSlowStreamsAddUp() {
        List<BackendServerId> one = path("dc1", 8);
        List<BackendServerId> other = new ArrayList<>(one);
        other.set(5, new BackendServerId("dc1-spare"));
        List<StreamActivity> streams =
                List.of(slow(one, 130), slow(one, 140), slow(one, 150), slow(other, 20), slow(other, 40));
        assertEquals(suspects(streams), Set.of("dc1-5"));
        assertEquals(suspects(streams.subList(1, 5)), Set.of(), "two of them are not enough yet");
        assertEquals(suspects(Collections.nCopies(10, slow(one, 71))).size(), 8);
        assertEquals(suspects(Collections.nCopies(10, slow(one, 70))), Set.of());
    }

    /**
     * A gateway was suspended for 130 ms, so all its streams look silent at once. Guards against dozens of probes that
     * take the CPU time that the gateway lacks; a stream that is silent for long by itself still counts.
     */
    @Test
    public void aDelayedProcessIgnoresCombinedSilence() {
        List<StreamActivity> streams = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            streams.add(slow(path("dc1", 8), 130));
        }
        assertEquals(SilentEngineDetector.findSuspects(streams, true, NOW), Set.of());
        streams.add(slow(path("dc2", 2), 320));
        assertEquals(SilentEngineDetector.findSuspects(streams, true, NOW).size(), 2);
    }
}
