package org.cornelramp.ports.http;

import static org.testng.Assert.assertEquals;

import java.net.InetAddress;
import java.net.ServerSocket;
import org.cornelramp.ports.PlatformException;
import org.testng.annotations.Test;

/**
 * Nothing listens at the service's address, as after its VM was taken away. The agent is told that the call was not
 * sent, so that it may say "not run" and the booking can be made elsewhere.
 */
public class RefusedConnectionTest {

    @Test
    public void callIsNotSent() throws Exception {
        int port;
        try (ServerSocket gone = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = gone.getLocalPort();
        }
        try (PlatformFixture fixture = new PlatformFixture(HttpTimeouts.DEFAULTS)) {
            PlatformException failure = PlatformFixture.failureOf(
                    fixture.platform().service("http://127.0.0.1:" + port).call(PlatformFixture.booking(5_000)));
            assertEquals(failure.kind(), PlatformException.Kind.NOT_SENT);
        }
    }
}
