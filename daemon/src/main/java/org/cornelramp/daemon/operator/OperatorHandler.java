package org.cornelramp.daemon.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.operate.OperatorJson;
import org.cornelramp.daemon.http.ProblemWriter;
import org.cornelramp.daemon.kernel.EventLoop;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.eclipse.jetty.util.Promise;

/**
 * Checks an operator's key, enqueues the call to the {@link EventLoop} that may block, and writes the answer. A call is
 * refused if the queue is full. Safe for use by any thread.
 */
final class OperatorHandler extends Handler.Abstract {
    private static final System.Logger LOG = System.getLogger(OperatorHandler.class.getName());
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final String path;
    private final OperatorAccess access;
    private final EventLoop<Runnable> eventLoop;
    private final Endpoint endpoint;

    OperatorHandler(String path, OperatorAccess access, EventLoop<Runnable> eventLoop, Endpoint endpoint) {
        this.path = path;
        this.access = access;
        this.eventLoop = eventLoop;
        this.endpoint = endpoint;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Optional<Problem> refusal = access.refusal(request.getHeaders().get(HttpHeader.AUTHORIZATION));
        if (refusal.isPresent()) {
            ProblemWriter.write(response, callback, refusal.get());
            return true;
        }
        Content.Source.asString(
                request,
                StandardCharsets.UTF_8,
                Promise.from(
                        body -> enqueue(call(request, body), response, callback),
                        failure -> answerIncompleteBody(failure, response, callback)));
        return true;
    }

    /** A call with an incomplete body is not executed, and the answer must say so. */
    private static void answerIncompleteBody(Throwable failure, Response response, Callback callback) {
        if (failure instanceof HttpException) {
            callback.failed(failure);
            return;
        }
        ProblemWriter.write(
                response,
                callback,
                Problem.notRun(
                        ProblemKind.MALFORMED_REQUEST,
                        "The body was incomplete or did not arrive in time; send the request again."));
    }

    private OperatorCall call(Request request, String body) {
        String relativePath = Request.getPathInContext(request).substring(path.length());
        List<String> pathSegments = Arrays.stream(relativePath.split("/"))
                .filter(part -> !part.isEmpty())
                .toList();
        Map<String, String> query = new HashMap<>();
        for (Fields.Field field : Request.extractQueryParameters(request)) {
            query.put(field.getName(), field.getValue());
        }
        return new OperatorCall(pathSegments, query, body == null ? "" : body);
    }

    private void enqueue(OperatorCall call, Response response, Callback callback) {
        if (!eventLoop.offer(() -> run(call, response, callback))) {
            ProblemWriter.write(
                    response,
                    callback,
                    Problem.notRun(ProblemKind.OVERLOADED, "Too many operators' calls are queued at this entry.")
                            .withRetryAfter(RETRY_AFTER));
        }
    }

    private void run(OperatorCall call, Response response, Callback callback) {
        try {
            Either<Problem, Object> answer = endpoint.answer(call);
            if (answer.isLeft()) {
                ProblemWriter.write(response, callback, answer.getLeft());
                return;
            }
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
            byte[] bytes = OperatorJson.STRICT.writeValueAsBytes(answer.get());
            response.write(true, ByteBuffer.wrap(bytes), callback);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            callback.failed(e);
        } catch (JsonProcessingException | RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "operator: a call failed; path=" + path, e);
            callback.failed(e);
        }
    }
}
