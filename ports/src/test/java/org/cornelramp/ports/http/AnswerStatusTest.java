package org.cornelramp.ports.http;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.node.TextNode;
import java.util.List;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogStream;
import org.cornelramp.ports.PlatformException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against appending a record twice: an append that the log service refuses has no effect and may be repeated,
 * but after a server error the record may have been appended, so such an error must not be reported as a refusal.
 */
public class AnswerStatusTest {

    @DataProvider
    public Object[][] statuses() {
        return new Object[][] {
            {400, PlatformException.Kind.REFUSED},
            {409, PlatformException.Kind.REFUSED},
            {410, PlatformException.Kind.GONE},
            {429, PlatformException.Kind.REFUSED},
            {500, PlatformException.Kind.ANSWER_LOST},
            {502, PlatformException.Kind.ANSWER_LOST},
            {503, PlatformException.Kind.REFUSED},
            {504, PlatformException.Kind.ANSWER_LOST},
        };
    }

    @Test(dataProvider = "statuses")
    public void statusDeterminesFailureKind(int status, PlatformException.Kind kind) throws Exception {
        PlatformException failure = failureOfAppend(RawServer.answer(status, "Retry-After: 3\r\n", "{}"));
        assertEquals(failure.kind(), kind);
        assertEquals(failure.retryAfterMillis(), 3_000);
    }

    @Test
    public void answerInAnotherFormatIsMalformed() throws Exception {
        assertEquals(failureOfAppend(RawServer.answer(200, "", "<html>")).kind(), PlatformException.Kind.MALFORMED);
    }

    private static PlatformException failureOfAppend(String answer) throws Exception {
        try (RawServer server = new RawServer((connection, request) -> answer);
                PlatformFixture fixture = new PlatformFixture(HttpTimeouts.DEFAULTS)) {
            LogClient log = fixture.platform().log(server.url());
            return PlatformFixture.failureOf(log.append(LogStream.TABLE, List.of(TextNode.valueOf("x"))));
        }
    }
}
