package org.cornelramp.ports.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.zip.GZIPOutputStream;
import org.cornelramp.ports.PlatformException;
import org.cornelramp.ports.ServiceReply;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a caller that gets a part of a reply as the whole: a reply without a length and without chunks ends
 * with its connection, as a reply does whose service crashes.
 */
public class CutReplyTest {
    private static final String CUT_BODY = "x".repeat(10);
    private static final long MILLIS_TO_READ = 200;

    private interface Check {
        void accept(CompletableFuture<ServiceReply> reply);
    }

    @DataProvider
    public Object[][] ends() {
        return new Object[][] {{false}, {true}};
    }

    @Test(dataProvider = "ends")
    public void replyThatEndsWithItsConnectionIsLost(boolean reset) throws Exception {
        call("HTTP/1.1 200 OK\r\n\r\n" + CUT_BODY, reset, reply -> {
            PlatformException failure = PlatformFixture.failureOf(reply);
            assertEquals(failure.kind(), PlatformException.Kind.ANSWER_LOST);
            assertTrue(failure.getMessage().contains("Content-Length"), failure.getMessage());
        });
    }

    @Test(dataProvider = "ends")
    public void encodedReplyThatEndsWithItsConnectionIsLost(boolean reset) throws Exception {
        call("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n" + gzip(CUT_BODY), reset, reply -> {
            PlatformException failure = PlatformFixture.failureOf(reply);
            assertEquals(failure.kind(), PlatformException.Kind.ANSWER_LOST);
        });
    }

    private static String gzip(String text) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream out = new GZIPOutputStream(bytes)) {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    @Test(dataProvider = "ends")
    public void replyShorterThanItsLengthIsLost(boolean reset) throws Exception {
        call(
                "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + CUT_BODY,
                reset,
                reply -> assertEquals(PlatformFixture.failureOf(reply).kind(), PlatformException.Kind.ANSWER_LOST));
    }

    @DataProvider
    public Object[][] wholeReplies() throws IOException {
        String packed = gzip(CUT_BODY);
        return new Object[][] {
            {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n" + CUT_BODY, CUT_BODY},
            {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n" + CUT_BODY + "\r\n0\r\n\r\n", CUT_BODY},
            {
                "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: " + packed.length() + "\r\n\r\n" + packed,
                CUT_BODY
            },
            {
                "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(packed.length()) + "\r\n" + packed + "\r\n0\r\n\r\n",
                CUT_BODY
            },
            {"HTTP/1.1 204 No Content\r\n\r\n", ""},
            {"HTTP/1.1 304 Not Modified\r\n\r\n", ""},
        };
    }

    @Test(dataProvider = "wholeReplies")
    public void framedReplyIsWhole(String answer, String body) throws Exception {
        call(answer, false, reply -> assertEquals(new String(reply.join().body(), StandardCharsets.UTF_8), body));
    }

    private static void call(String answer, boolean reset, Check check) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                PlatformFixture fixture = new PlatformFixture(HttpTimeouts.DEFAULTS)) {
            Thread thread = new Thread(() -> serve(server, answer, reset));
            thread.start();
            check.accept(fixture.platform()
                    .service("http://127.0.0.1:" + server.getLocalPort())
                    .call(PlatformFixture.booking(5_000)));
            thread.join();
        }
    }

    private static void serve(ServerSocket server, String answer, boolean reset) {
        try (Socket socket = server.accept()) {
            int read = socket.getInputStream().read(new byte[4_096]);
            socket.getOutputStream()
                    .write(answer.getBytes(StandardCharsets.ISO_8859_1), 0, read > 0 ? answer.length() : 0);
            Thread.sleep(MILLIS_TO_READ);
            if (reset) {
                socket.setSoLinger(true, 0);
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
