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
import org.cornelramp.daemon.kernel.Duty;
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
 * Checks an operator's key, hands the call to the duty that may wait, and writes its answer. Safe for use by any
 * thread. A full ring before the duty is a refusal.
 */
final class OperatorHandler extends Handler.Abstract {
    private static final System.Logger LOG = System.getLogger(OperatorHandler.class.getName());
    private static final Duration COME_BACK = Duration.ofSeconds(2);

    private final String path;
    private final OperatorAccess access;
    private final Duty<Runnable> duty;
    private final Endpoint endpoint;

    OperatorHandler(String path, OperatorAccess access, Duty<Runnable> duty, Endpoint endpoint) {
        this.path = path;
        this.access = access;
        this.duty = duty;
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
                        body -> offer(call(request, body), response, callback),
                        failure -> refuseBody(failure, response, callback)));
        return true;
    }

    /** Nothing was done with a body that did not come whole, and the answer must say so. */
    private static void refuseBody(Throwable failure, Response response, Callback callback) {
        if (failure instanceof HttpException) {
            callback.failed(failure);
            return;
        }
        ProblemWriter.write(
                response,
                callback,
                Problem.notRun(ProblemKind.MALFORMED_REQUEST, "The body did not come whole or in time."));
    }

    private OperatorCall call(Request request, String body) {
        String below = Request.getPathInContext(request).substring(path.length());
        List<String> tail =
                Arrays.stream(below.split("/")).filter(part -> !part.isEmpty()).toList();
        Map<String, String> query = new HashMap<>();
        for (Fields.Field field : Request.extractQueryParameters(request)) {
            query.put(field.getName(), field.getValue());
        }
        return new OperatorCall(tail, query, body == null ? "" : body);
    }

    private void offer(OperatorCall call, Response response, Callback callback) {
        if (!duty.offer(() -> run(call, response, callback))) {
            ProblemWriter.write(
                    response,
                    callback,
                    Problem.notRun(ProblemKind.OVERLOADED, "Too many operators' calls wait here.")
                            .withRetryAfter(COME_BACK));
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
