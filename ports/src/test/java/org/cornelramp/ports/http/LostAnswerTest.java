package org.cornelramp.ports.http;

import static org.testng.Assert.assertEquals;

import org.cornelramp.ports.PlatformException;
import org.cornelramp.ports.ServiceClient;
import org.testng.annotations.Test;

/**
 * A service takes a booking and the connection ends before its answer. The booking may have been made. The agent is
 * told that the answer is lost and never that the call was not sent, and the service sees the booking once: a
 * client that repeated it would send two crews for one wardrobe.
 */
public class LostAnswerTest {

    @Test
    public void newConnectionClosedAfterTheCall() throws Exception {
        try (RawServer server = new RawServer((connection, request) -> "");
                PlatformFixture fixture = new PlatformFixture(HttpTimeouts.DEFAULTS)) {
            ServiceClient service = fixture.platform().service(server.url());
            PlatformException failure = PlatformFixture.failureOf(service.call(PlatformFixture.booking(5_000)));
            assertEquals(failure.kind(), PlatformException.Kind.ANSWER_LOST);
            assertEquals(server.requests().size(), 1);
        }
    }

    @Test
    public void pooledConnectionClosedAfterTheCall() throws Exception {
        try (RawServer server =
                        new RawServer((connection, request) -> request == 0 ? RawServer.answer(200, "", "{}") : "");
                PlatformFixture fixture = new PlatformFixture(HttpTimeouts.DEFAULTS)) {
            ServiceClient service = fixture.platform().service(server.url());
            assertEquals(service.call(PlatformFixture.booking(5_000)).join().status(), 200);
            PlatformException failure = PlatformFixture.failureOf(service.call(PlatformFixture.booking(5_000)));
            assertEquals(failure.kind(), PlatformException.Kind.ANSWER_LOST);
            assertEquals(server.connections(), 1);
            assertEquals(server.requests().size(), 2);
        }
    }

    @Test
    public void serviceThatNeverAnswers() throws Exception {
        try (RawServer server = new RawServer((connection, request) -> null);
                PlatformFixture fixture = new PlatformFixture(HttpTimeouts.DEFAULTS)) {
            PlatformException failure = PlatformFixture.failureOf(
                    fixture.platform().service(server.url()).call(PlatformFixture.booking(200)));
            assertEquals(failure.kind(), PlatformException.Kind.ANSWER_LOST);
            assertEquals(server.requests().size(), 1);
        }
    }
}
