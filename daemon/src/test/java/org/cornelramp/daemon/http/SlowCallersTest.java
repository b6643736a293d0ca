package org.cornelramp.daemon.http;

import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.settings.BoundSettings;
import org.cornelramp.core.settings.HostPort;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Guards against a caller that sends half a body and then nothing on an open connection: the read times out, and the
 * caller is answered. The same timeout must not end a request whose answer takes longer, because then the caller waits
 * for the server.
 */
public class SlowCallersTest {
    private static final long IDLE_MILLIS = 300;
    private static final long ANSWER_DELAY_MILLIS = 4 * IDLE_MILLIS;

    private HttpServer server;

    /** Reads the body and answers after a delay. */
    private static final class DelayedAnswerHandler extends Handler.Abstract {
        private static final Executor DELAYED_EXECUTOR =
                CompletableFuture.delayedExecutor(ANSWER_DELAY_MILLIS, TimeUnit.MILLISECONDS);

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            Content.Source.asString(
                    request,
                    StandardCharsets.UTF_8,
                    Promise.from(
                            body -> DELAYED_EXECUTOR.execute(
                                    () -> Content.Sink.write(response, true, "whole", callback)),
                            failure -> ProblemWriter.write(
                                    response,
                                    callback,
                                    Problem.notRun(ProblemKind.MALFORMED_REQUEST, "The body did not come whole."))));
            return true;
        }
    }

    @BeforeClass
    public void start() throws Exception {
        Routes routes = new Routes();
        routes.add("POST", "/late", new DelayedAnswerHandler());
        server = new HttpServer(
                new HostPort("127.0.0.1", 0), BoundSettings.DEFAULTS, routes, new SimpleMeterRegistry(), IDLE_MILLIS);
        server.start();
    }

    @AfterClass
    public void stop() {
        server.stop();
    }

    private String send(String body) throws IOException {
        String head = "POST /late HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 10\r\n\r\n";
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), server.address().port())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Test
    public void incompleteBodyTimesOut() throws IOException {
        String answer = send("01234");
        assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
        assertTrue(answer.contains("\"outcome\":\"not-run\""), answer);
    }

    @Test
    public void slowAnswerDoesNotTimeOut() throws IOException {
        String answer = send("0123456789");
        assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        assertTrue(answer.endsWith("whole"), answer);
    }
}
