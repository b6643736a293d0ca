package org.cornelramp.ports.http;

import static org.testng.Assert.assertEquals;

import org.cornelramp.ports.PlatformException;
import org.cornelramp.ports.ServiceClient;
import org.testng.annotations.Test;

/**
 * Guards against running a booking twice when the connection ends after the request and before the answer. The booking
 * may have been made, so the failure must be reported as a lost answer, never as not sent, and the client must not
 * repeat it.
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
