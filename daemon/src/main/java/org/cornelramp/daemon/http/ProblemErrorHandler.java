package org.cornelramp.daemon.http;

import io.micrometer.core.instrument.MeterRegistry;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;

/**
 * Answers requests that the HTTP server itself refuses, such as those with too large a header, with a problem document.
 * Safe for use by any thread.
 */
final class ProblemErrorHandler extends ErrorHandler {
    private final MeterRegistry meters;

    ProblemErrorHandler(MeterRegistry meters) {
        this.meters = meters;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Problem problem = problem(response.getStatus());
        meters.counter("cornelramp.http.refused", "kind", problem.kind().text()).increment();
        ProblemWriter.write(response, callback, problem);
        return true;
    }

    private static Problem problem(int status) {
        if (status == HttpStatus.PAYLOAD_TOO_LARGE_413) {
            return Problem.notRun(ProblemKind.REQUEST_TOO_LARGE, "The body is larger than the limit of this process.");
        }
        if (status == HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431 || status == HttpStatus.URI_TOO_LONG_414) {
            return Problem.notRun(
                    ProblemKind.HEADERS_TOO_LARGE,
                    "The request line and headers are larger than the limit of this process.");
        }
        boolean handlerFailed =
                status == HttpStatus.INTERNAL_SERVER_ERROR_500 || status == HttpStatus.SERVICE_UNAVAILABLE_503;
        if (!handlerFailed) {
            return Problem.notRun(ProblemKind.MALFORMED_REQUEST, "The request is not valid HTTP/1.1.");
        }
        // The handler failed at an unknown point, so the request may have run.
        return Problem.unknown(ProblemKind.BACKEND_FAILED, "The process failed on this request.");
    }
}
