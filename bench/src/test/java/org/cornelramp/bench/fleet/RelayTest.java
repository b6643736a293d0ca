package org.cornelramp.bench.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a client of a relay sees when a connection ends: an answer without a length depends on it. */
public class RelayTest {
    private ServerSocket listener;
    private Relay relay;
    private Socket client;
    private Socket target;

    @BeforeMethod
    public void open() throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        listener = new ServerSocket(0, 1, loopback);
        int port = new Ports().allocate();
        relay = new Relay(port, listener.getLocalPort());
        client = new Socket(loopback, port);
        target = listener.accept();
        target.getOutputStream().write(1);
        assertEquals(client.getInputStream().read(), 1);
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        relay.close();
        client.close();
        target.close();
        listener.close();
    }

    private void assertReset() {
        assertThrows(SocketException.class, () -> client.getInputStream().read());
    }

    @Test
    public void endsInOrderAsItsTargetDoes() throws IOException {
        target.close();
        assertEquals(client.getInputStream().read(), -1);
    }

    @Test
    public void endsInOrderWhenItIsCut() throws IOException {
        relay.cut();
        assertEquals(client.getInputStream().read(), -1);
    }

    @Test
    public void isResetWhenItsTargetResets() throws IOException {
        target.setSoLinger(true, 0);
        target.close();
        assertReset();
    }

    @Test
    public void isResetOnDemand() {
        relay.reset();
        assertReset();
    }

    /** Guards against an unframed answer with a gap that ends in order. */
    @Test
    public void isResetAfterItHasLostData() throws IOException {
        relay.setDroppingResponses(true);
        target.getOutputStream().write(2);
        target.close();
        assertReset();
    }
}
