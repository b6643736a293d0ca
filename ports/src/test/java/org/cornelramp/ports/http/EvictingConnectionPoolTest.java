package org.cornelramp.ports.http;

import static org.testng.Assert.assertNull;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.testng.annotations.Test;

/** The connection pool at the stop of its client. */
public class EvictingConnectionPoolTest {
    private static final int BACKLOG = 1;

    /** Guards against a client that stops halfway because one of its connections is still being opened. */
    @Test(groups = "known-red")
    public void clientStopsWhileAConnectionIsBeingOpened() throws Exception {
        try (ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())) {
            List<Socket> queued = fillBacklog(server);
            HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(1);
            transport.setConnectionPoolFactory(destination -> new EvictingConnectionPool(destination, 1));
            HttpClient http = new HttpClient(transport);
            http.start();
            http.newRequest("http://127.0.0.1:" + server.getLocalPort()).send(result -> {});

            Exception failure = stopFailure(http);
            for (Socket socket : queued) {
                socket.close();
            }
            assertNull(failure);
        }
    }

    /** Opens connections that are never accepted, until a further one stays in progress. */
    private static List<Socket> fillBacklog(ServerSocket server) throws Exception {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i <= BACKLOG; i++) {
            sockets.add(new Socket(server.getInetAddress(), server.getLocalPort()));
        }
        return sockets;
    }

    private static Exception stopFailure(HttpClient http) {
        try {
            http.stop();
            return null;
        } catch (Exception e) {
            return e;
        }
    }
}
