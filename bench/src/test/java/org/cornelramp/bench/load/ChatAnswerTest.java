package org.cornelramp.bench.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/**
 * Guards against counting a cut stream as a complete answer: one cut in the middle of an event, or after all text but
 * before its end marker, in whatever chunks its bytes arrive.
 */
public class ChatAnswerTest {
    private static final String CHUNK = "data: {\"choices\":[{\"delta\":{\"content\":\"wa \"}}]}\n\n";

    @Test
    public void streamWithoutItsEndIsNotWhole() {
        ChatAnswer answer = read(CHUNK + CHUNK);
        assertEquals(answer.text(), "wa wa ");
        assertFalse(answer.isDone());
    }

    @Test
    public void streamWithItsEndIsWhole() {
        assertTrue(read(CHUNK + "data: [DONE]\n\n").isDone());
    }

    @Test
    public void problemInTheStreamIsTheFinalWord() {
        ChatAnswer answer = read(CHUNK + "event: error\ndata: {\"kind\":\"backend-lost\",\"outcome\":\"unknown\"}\n\n");
        assertEquals(answer.problem().path("kind").asText(), "backend-lost");
        assertFalse(answer.isDone());
    }

    private static ChatAnswer read(String stream) {
        ChatAnswer answer = new ChatAnswer();
        EventStreamReader reader = new EventStreamReader();
        for (byte one : stream.getBytes(StandardCharsets.UTF_8)) {
            reader.read(ByteBuffer.wrap(new byte[] {one})).forEach(answer::add);
        }
        return answer;
    }
}
