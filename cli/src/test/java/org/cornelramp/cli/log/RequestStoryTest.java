package org.cornelramp.cli.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** What the logs tell of a failed request, on lines as the gateways write them. */
public class RequestStoryTest {
    private static LogLine line(long millis, String process, String part, String event, String fields) {
        String text = "{\"time\":%d,\"process\":\"%s\",\"part\":\"%s\",\"event\":\"%s\"%s}"
                .formatted(millis, process, part, event, fields);
        return LogLine.parse(text).orElseThrow();
    }

    /**
     * A client's stream ends in the middle. The engine i-2 of its path died; another gateway's news of an engine that it
     * does not pass, and what happened long before, have nothing to do with it.
     */
    @Test
    public void aStreamThatWasCutIsExplainedByTheDeathInItsPath() {
        List<LogLine> log = List.of(
                line(1_000, "g1", "fleet", "suspected", ",\"server\":\"i-2\",\"evidence\":\"BUSY\""),
                line(9_000, "g1", "route", "sent", ",\"id\":\"r\",\"server\":\"i-1\",\"path\":\"i-1=0-4,i-2=4-8\""),
                line(9_500, "g2", "fleet", "suspected", ",\"server\":\"i-7\",\"evidence\":\"LOST\",\"why\":\"x\""),
                line(
                        9_600,
                        "g1",
                        "fleet",
                        "suspected",
                        ",\"server\":\"i-2\",\"evidence\":\"LOST\",\"why\":\"refused\""),
                line(9_700, "g1", "request", "broken off", ",\"id\":\"r\",\"why\":\"no server\""));
        RequestStory story = RequestStory.of("r", log);
        assertEquals(story.lines().stream().map(LogLine::millis).toList(), List.of(9_000L, 9_600L, 9_700L));
        assertTrue(story.cause().orElseThrow().startsWith("server i-2 of its path was found LOST (refused)"));
    }

    /** A client left because its stream stood still; the story says what the stream waited for, not only that it left. */
    @Test
    public void aClientThatLeftAStreamAtAStandstillIsExplainedByWhatTheStreamWaitedFor() {
        String left = ",\"id\":\"r\",\"why\":\"client gone\",\"quietMillis\":2051";
        assertEquals(
                causeOf(left + ",\"begun\":\"true\",\"awaitsRepeat\":\"true\",\"awaitsPath\":\"false\""),
                "the client closed its connection after 2051 ms in which no repeat was left for its stream");
        assertEquals(
                causeOf(left + ",\"begun\":\"true\",\"awaitsRepeat\":\"false\",\"awaitsPath\":\"true\""),
                "the client closed its connection after 2051 ms in which no engines could carry its stream on");
        assertEquals(
                causeOf(left + ",\"begun\":\"false\""),
                "the client closed its connection after 2051 ms without a first event");
        assertEquals(causeOf(left + ",\"begun\":\"true\""), "the client closed its connection");
    }

    private static String causeOf(String brokenOff) {
        List<LogLine> log = List.of(line(9_000, "g1", "request", "broken off", brokenOff));
        return RequestStory.of("r", log).cause().orElseThrow();
    }

    /** A data centre lacks layers and no other has room; the last line on layers before the refusal shows the gap. */
    @Test
    public void aRefusalForWantOfLayersNamesTheGap() {
        List<LogLine> log = List.of(
                line(8_000, "g2", "placement", "coverage", ",\"layers\":\"dc1 none 5 once 40; \""),
                line(9_000, "g1", "request", "refused", ",\"id\":\"r\",\"as\":\"NO_SERVER\",\"why\":\"no server\""));
        String cause = RequestStory.of("r", log).cause().orElseThrow();
        assertEquals(cause, "no path had every layer: dc1 none 5 once 40; ");
    }

    /** Every layer has a holder; then it was memory or slots that no engine had left. */
    @Test
    public void aRefusalWithAllLayersHeldIsForWantOfRoom() {
        List<LogLine> log = List.of(
                line(8_000, "g2", "placement", "coverage", ",\"layers\":\"dc1 none 0 once 40; \""),
                line(9_000, "g1", "request", "refused", ",\"id\":\"r\",\"as\":\"NO_SERVER\",\"why\":\"no server\""));
        assertTrue(RequestStory.of("r", log).cause().orElseThrow().startsWith("every layer had a holder"));
    }

    /** A booking's connection was reset: nobody but its server knows, and the story says so. */
    @Test
    public void anOpenOutcomeSaysWhoKnowsMore() {
        List<LogLine> log = List.of(
                line(9_000, "g1", "route", "sent", ",\"id\":\"r\",\"server\":\"a-1\",\"path\":\"\""),
                line(9_070, "g1", "request", "refused", ",\"id\":\"r\",\"as\":\"UNKNOWN\",\"why\":\"reset\""));
        assertTrue(RequestStory.of("r", log).cause().orElseThrow().contains("only the server knows"));
    }

    @Test
    public void whatIsServedHasNoCauseAndOtherOutputIsIgnored() {
        LogLine ended = line(9_000, "g1", "request", "ended", ",\"id\":\"r\",\"outcome\":\"complete\"");
        assertEquals(RequestStory.of("r", List.of(ended)).cause(), Optional.empty());
        assertEquals(RequestStory.of("other", List.of(ended)).lines(), List.of());
        for (String text : new String[] {"", "INFO: started", "{\"time\":1", "{\"a\":2}"}) {
            assertEquals(LogLine.parse(text), Optional.empty());
        }
    }
}
