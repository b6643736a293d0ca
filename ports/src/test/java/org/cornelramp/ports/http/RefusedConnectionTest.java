package org.cornelramp.ports.http;

import static org.testng.Assert.assertEquals;

import java.net.InetAddress;
import java.net.ServerSocket;
import org.cornelramp.ports.PlatformException;
import org.testng.annotations.Test;

/**
 * Guards against reporting an unknown outcome when nothing listens at the service's address, for example because its VM
 * was removed. The failure must state that the call was not sent, so that it can be answered as not run and retried on
 * another server.
 */
public class RefusedConnectionTest {

    @Test
    public void callIsNotSent() throws Exception {
        int port;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = closed.getLocalPort();
        }
        try (PlatformFixture fixture = new PlatformFixture(HttpTimeouts.DEFAULTS)) {
            PlatformException failure = PlatformFixture.failureOf(
                    fixture.platform().service("http://127.0.0.1:" + port).call(PlatformFixture.booking(5_000)));
            assertEquals(failure.kind(), PlatformException.Kind.NOT_SENT);
        }
    }
}
