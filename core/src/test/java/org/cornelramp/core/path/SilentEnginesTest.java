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

/** Which engines are asked when streams pause. Figures are of the deployments of today: an event in about 27 ms. */
public class SilentEnginesTest {
    private static final long NOW = 100_000;
    private static final double USUAL = 27;

    private static List<BackendServerId> path(String dataCentre, int engines) {
        return IntStream.range(0, engines)
                .mapToObj(i -> new BackendServerId(dataCentre + "-" + i))
                .toList();
    }

    private static StreamActivity stream(List<BackendServerId> path, long silentMillis) {
        return new StreamActivity(path, NOW - silentMillis, true, USUAL);
    }

    private static Set<String> asked(List<StreamActivity> streams) {
        return SilentEngineDetector.findSuspects(streams, false, NOW).stream()
                .map(BackendServerId::value)
                .collect(Collectors.toSet());
    }

    /**
     * Load of a busy evening: thirty streams over two copies of one data centre that share engines, and one of the
     * engines dies. All streams through it fall silent; the others pass every engine but that one.
     */
    @Test
    public void asksTheOneEngineThatNothingPasses() {
        List<BackendServerId> one = path("dc1", 8);
        List<BackendServerId> other = new ArrayList<>(one);
        other.set(5, new BackendServerId("dc1-spare"));
        List<StreamActivity> streams = new ArrayList<>();
        for (int i = 0; i < 15; i++) {
            streams.add(stream(one, 115 + i));
            streams.add(stream(other, i));
        }
        assertEquals(asked(streams), Set.of("dc1-5"));
    }

    /**
     * A gateway has just started, and its processor is full: answers to its questions come too late, while events go on
     * coming. Engines that events pass live; one whose streams are silent may be dead.
     */
    @Test
    public void anEngineThatEventsPassLivesThoughItDoesNotAnswer() {
        List<StreamActivity> streams = List.of(stream(path("dc1", 8), 30), stream(path("dc2", 8), 130));
        assertTrue(SilentEngineDetector.hasRecentEvents(streams, new BackendServerId("dc1-3"), NOW));
        assertFalse(SilentEngineDetector.hasRecentEvents(streams, new BackendServerId("dc2-3"), NOW));
    }

    /** Nobody else passes the path, so any of its engines may be the dead one. */
    @Test
    public void asksTheWholePathOfALonelyStream() {
        assertEquals(asked(List.of(stream(path("dc1", 8), 120))).size(), 8);
    }

    /** Under load every stream is slow, at 60 ms an event; a pause of 200 ms is usual then and asks nobody. */
    @Test
    public void aPauseThatIsUsualForTheStreamAsksNobody() {
        StreamActivity slow = new StreamActivity(path("dc1", 8), NOW - 200, true, 60);
        assertEquals(asked(List.of(slow)), Set.of());
        assertEquals(asked(List.of(stream(path("dc1", 8), 100))), Set.of());
    }

    /** A prompt takes longer than an event; only a stream whose first event is long due asks. */
    @Test
    public void waitsLongerForTheFirstEvent() {
        StreamActivity reading = new StreamActivity(path("dc1", 2), NOW - 400, false, 0);
        assertEquals(asked(List.of(reading)), Set.of());
        StreamActivity due = new StreamActivity(path("dc1", 2), NOW - 401, false, 0);
        assertEquals(asked(List.of(due)).size(), 2);
    }

    /**
     * An engine of a stream's path is held to be dead on a question that it did not answer. The stream's own events tell
     * whether to believe it: while they come as usual nothing is cut, also where the usual is slow, and after some of its
     * usual pauses without one the stream has stopped. A dead engine is found after 100 ms of silence or more, so the
     * streams of the deployments of today have stopped by then.
     */
    @Test
    public void aStreamFlowsWhileItsEventsComeAsUsual() {
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
     * Load of a deployment of 130 engines: events come each 90 ms, and three streams of this gateway pass an engine that
     * dies. Each alone would be silent after 300 ms, when its client already takes it for late. Three silences of 130 ms
     * are rarer than one of 360 ms, so the engine is asked, and the streams can go on elsewhere in time. With ten of them
     * 70 ms are enough, and no less: answers to all of them may be late together for as long.
     */
    @Test
    public void slowStreamsThatAreSilentTogetherAskSooner() {
        List<BackendServerId> one = path("dc1", 8);
        List<BackendServerId> other = new ArrayList<>(one);
        other.set(5, new BackendServerId("dc1-spare"));
        List<StreamActivity> streams =
                List.of(slow(one, 130), slow(one, 140), slow(one, 150), slow(other, 20), slow(other, 40));
        assertEquals(asked(streams), Set.of("dc1-5"));
        assertEquals(asked(streams.subList(1, 5)), Set.of(), "two of them are not enough yet");
        assertEquals(asked(Collections.nCopies(10, slow(one, 71))).size(), 8);
        assertEquals(asked(Collections.nCopies(10, slow(one, 70))), Set.of());
    }

    /**
     * A gateway stood still for 130 ms, so all its streams look silent together. It asks about none of their engines, or
     * dozens of questions would take the processor time that it lacks; a stream that is silent for long by itself counts.
     */
    @Test
    public void aLateProcessAsksForNoSharedSilence() {
        List<StreamActivity> streams = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            streams.add(slow(path("dc1", 8), 130));
        }
        assertEquals(SilentEngineDetector.findSuspects(streams, true, NOW), Set.of());
        streams.add(slow(path("dc2", 2), 320));
        assertEquals(SilentEngineDetector.findSuspects(streams, true, NOW).size(), 2);
    }
}
