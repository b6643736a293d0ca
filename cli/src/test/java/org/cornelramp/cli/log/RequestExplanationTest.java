package org.cornelramp.cli.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Explains failed requests from log lines in the format of the gateways. */
public class RequestExplanationTest {
    private static LogLine line(long millis, String process, String part, String event, String fields) {
        String text = "{\"time\":%d,\"process\":\"%s\",\"part\":\"%s\",\"event\":\"%s\"%s}"
                .formatted(millis, process, part, event, fields);
        return LogLine.parse(text).orElseThrow();
    }

    /**
     * A stream breaks off because the engine i-2 on its path was lost. A suspicion of an engine off the path, logged by
     * another gateway, and an old suspicion of i-2 must not be part of the explanation.
     */
    @Test
    public void brokenOffStreamIsExplainedByTheSuspectedServerOnItsPath() {
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
        RequestExplanation explanation = RequestExplanation.of("r", log);
        assertEquals(explanation.lines().stream().map(LogLine::timeMillis).toList(), List.of(9_000L, 9_600L, 9_700L));
        assertTrue(explanation.cause().orElseThrow().startsWith("server i-2 of its path was found LOST (refused)"));
    }

    /** A client leaves while its stream makes no progress: the cause names what the stream waited for. */
    @Test
    public void clientDisconnectIsExplainedByWhatTheStreamWaitedFor() {
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
        return RequestExplanation.of("r", log).cause().orElseThrow();
    }

    /** A request is refused because layers have no holder: the cause quotes the last coverage line before it. */
    @Test
    public void refusalNamesTheMissingLayers() {
        List<LogLine> log = List.of(
                line(8_000, "g2", "placement", "coverage", ",\"layers\":\"dc1 none 5 once 40; \""),
                line(9_000, "g1", "request", "refused", ",\"id\":\"r\",\"as\":\"NO_SERVER\",\"why\":\"no server\""));
        String cause = RequestExplanation.of("r", log).cause().orElseThrow();
        assertEquals(cause, "no path had every layer: dc1 none 5 once 40; ");
    }

    /** A request is refused although every layer has a holder, because no engine had memory or slots left. */
    @Test
    public void refusalWithAllLayersHeldNamesMissingMemoryOrSlots() {
        List<LogLine> log = List.of(
                line(8_000, "g2", "placement", "coverage", ",\"layers\":\"dc1 none 0 once 40; \""),
                line(9_000, "g1", "request", "refused", ",\"id\":\"r\",\"as\":\"NO_SERVER\",\"why\":\"no server\""));
        assertTrue(RequestExplanation.of("r", log).cause().orElseThrow().startsWith("every layer had a holder"));
    }

    /** The connection of a request was reset: the cause says that only the server knows whether it took effect. */
    @Test
    public void unknownOutcomePointsToTheServer() {
        List<LogLine> log = List.of(
                line(9_000, "g1", "route", "sent", ",\"id\":\"r\",\"server\":\"a-1\",\"path\":\"\""),
                line(9_070, "g1", "request", "refused", ",\"id\":\"r\",\"as\":\"UNKNOWN\",\"why\":\"reset\""));
        assertTrue(RequestExplanation.of("r", log).cause().orElseThrow().contains("only the server knows"));
    }

    @Test
    public void servedRequestHasNoCauseAndForeignLinesAreIgnored() {
        LogLine ended = line(9_000, "g1", "request", "ended", ",\"id\":\"r\",\"outcome\":\"complete\"");
        assertEquals(RequestExplanation.of("r", List.of(ended)).cause(), Optional.empty());
        assertEquals(RequestExplanation.of("other", List.of(ended)).lines(), List.of());
        for (String text : new String[] {"", "INFO: started", "{\"time\":1", "{\"a\":2}"}) {
            assertEquals(LogLine.parse(text), Optional.empty());
        }
    }
}
