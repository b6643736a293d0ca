package org.cornelramp.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.util.List;
import org.cornelramp.wire.message.OpenStage;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A request crashes each engine of the second layer that runs it, and its caller sends it again through another entry.
 * After the second crash both entries refuse the request as set aside, and no further engine gets it. Other requests of
 * the same organisation are served.
 */
public class PoisonRequestTest {
    private static final String POISON_PROMPT = "a piano";

    private FakeLog log;
    private EntryFixture entry;
    private EntryFixture other;
    private FakeAgent[] secondLayerAgents;

    @BeforeMethod
    public void start() throws Exception {
        log = new FakeLog();
        entry = new EntryFixture(List.of(FakePipeline.MODEL), log);
        other = new EntryFixture(List.of(FakePipeline.MODEL), log);
        FakePipeline pipeline = new FakePipeline();
        pipeline.crashOnPromptLength(POISON_PROMPT.length());
        secondLayerAgents =
                new FakeAgent[] {pipeline.agent("b1", 1, 1), pipeline.agent("b2", 1, 1), pipeline.agent("b3", 1, 1)};
        FakeAgent a = pipeline.agent("a", 1, 0);
        FakeAgent c = pipeline.agent("c", 1, 2);
        entry.add(a, c, secondLayerAgents[0], secondLayerAgents[1], secondLayerAgents[2]);
        other.addRunning(a, c, secondLayerAgents[0], secondLayerAgents[1], secondLayerAgents[2]);
    }

    @AfterMethod
    public void stop() {
        other.close();
        entry.close();
    }

    @Test
    public void isSetAsideByAllEntriesAfterTwoCrashes() throws Exception {
        HttpResponse<String> first = entry.send(entry.chat(POISON_PROMPT, 4, false));
        assertEquals(kind(first), "set-aside", first.body());
        assertEquals(openedStages(), 2);
        EntryFixture.await(() -> other.crashReports() == 2);
        HttpResponse<String> again = other.send(other.chat(POISON_PROMPT, 4, false));
        assertEquals(kind(again), "set-aside");
        assertEquals(again.statusCode(), 422);
        assertEquals(openedStages(), 2);
        HttpResponse<String> innocent = other.send(other.chat("a piano stool", 4, true));
        assertTrue(Sse.isComplete(innocent.body()), innocent.body());
    }

    private long openedStages() {
        long count = 0;
        for (FakeAgent agent : secondLayerAgents) {
            count += agent.receivedMessages.stream()
                    .filter(OpenStage.class::isInstance)
                    .count();
        }
        return count;
    }

    private static String kind(HttpResponse<String> response) throws Exception {
        return new ObjectMapper().readTree(response.body()).path("kind").textValue();
    }
}
