package org.cornelramp.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Responses to a client whose window stays full for longer than the idle timeout of its connection. */
public class IdleTimeoutExtensionTest {
    private static final long IDLE_MILLIS = 200;
    private static final long DEADLINE_MILLIS = 600_000;

    /** Ends a test that waits for something that does not come. */
    private static final long WAIT_MILLIS = 60_000;

    /** More than the socket buffers of both ends take. */
    private static final int BODY_BYTES = 64 << 20;

    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

    private final BlockingQueue<Callback> begun = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> writes = new LinkedBlockingQueue<>();
    private Server server;
    private ServerConnector connector;

    @BeforeMethod
    public void start() throws Exception {
        begun.clear();
        writes.clear();
        server = new Server();
        connector = new ServerConnector(server);
        connector.setHost("127.0.0.1");
        connector.setIdleTimeout(WAIT_MILLIS);
        server.addConnector(connector);
        server.setHandler(new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                request.addIdleTimeoutListener(timeout -> false);
                // Not earlier, so that no pause before the request can close its connection.
                connector.setIdleTimeout(IDLE_MILLIS);
                request.getConnectionMetaData().getConnection().getEndPoint().setIdleTimeout(IDLE_MILLIS);
                IdleTimeoutExtension.begin(request, DEADLINE_MILLIS);
                response.getHeaders().put(HttpHeader.CONTENT_LENGTH, BODY_BYTES);
                Callback written = Callback.from(() -> end("written", callback), failure -> {
                    end(failure.toString(), Callback.NOOP);
                    callback.failed(failure);
                });
                response.write(true, ByteBuffer.allocate(BODY_BYTES), written);
                begun.add(callback);
                return true;
            }
        });
        server.start();
    }

    private void end(String how, Callback callback) {
        writes.add(how);
        callback.succeeded();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        server.stop();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), connector.getLocalPort());
        socket.setSoTimeout((int) WAIT_MILLIS);
        return socket;
    }

    /** Waits until the server closes a connection that was opened now and is idle from now on. */
    private void awaitIdleExpiry() throws IOException {
        try (Socket idle = connect()) {
            assertEquals(idle.getInputStream().read(), -1);
        }
    }

    private static long readBody(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int read = in.read();
            assertTrue(read >= 0, "closed within the head");
            head.append((char) read);
        }
        assertTrue(head.toString().startsWith("HTTP/1.1 200"), head.toString());
        return in.readNBytes(BODY_BYTES).length;
    }

    /** Guards against a slow client that is taken for a disconnected one: the idle timeout fails a stalled write. */
    @Test
    public void stalledWriteOutlivesTheIdleTimeout() throws Exception {
        try (Socket client = connect()) {
            client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.UTF_8));
            assertNotNull(begun.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS), "the response has begun");
            awaitIdleExpiry();
            awaitIdleExpiry();
            assertFalse(writes.contains("written"), "the write is stalled");
            assertEquals(readBody(client.getInputStream()), BODY_BYTES);
            assertEquals(writes.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS), "written");
        }
    }

    /** Guards against a stalled client that keeps its connection when the deadline has ended its response. */
    @Test
    public void stalledWriteEndsWithTheResponse() throws Exception {
        try (Socket client = connect()) {
            client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.UTF_8));
            Callback response = begun.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS);
            assertNotNull(response, "the response has begun");
            response.failed(new IOException("deadline"));
            String end = writes.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS);
            assertNotNull(end, "the write has ended");
            assertNotEquals(end, "written");
        }
    }

    /** Guards against connections that stay open for good because the extension outlives the response. */
    @Test
    public void idleConnectionIsClosedAfterTheResponse() throws Exception {
        try (Socket client = connect()) {
            client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.UTF_8));
            assertEquals(readBody(client.getInputStream()), BODY_BYTES);
            assertEquals(client.getInputStream().read(), -1);
        }
    }
}
