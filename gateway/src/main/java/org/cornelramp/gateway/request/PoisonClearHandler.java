package org.cornelramp.gateway.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Lets operators clear a request, or parts of prompts, that are refused because servers have crashed under them: {@code
 * POST /poison/clear?fingerprint=F}, with the name that the log gives. Holds no state of its own. Safe for use by any
 * thread.
 */
public final class PoisonClearHandler extends Handler.Abstract {
    private static final String PATH = "/poison/clear";
    private static final String FINGERPRINT = "fingerprint";
    private static final Pattern VALID = Pattern.compile("[0-9a-f]{32}|part:[0-9a-f]{1,64}(,[0-9a-f]{1,64}){0,31}");

    private final Predicate<String> clear;

    /** @param clear clears the request, or the parts, of a name; false if too much else is queued */
    public PoisonClearHandler(Predicate<String> clear) {
        this.clear = clear;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(PATH)) {
            return false;
        }
        if (!HttpMethod.POST.is(request.getMethod())) {
            answer(response, callback, HttpStatus.METHOD_NOT_ALLOWED_405, "Send a POST.");
            return true;
        }
        Optional<String> fingerprint = Optional.ofNullable(
                        Request.extractQueryParameters(request).getValue(FINGERPRINT))
                .filter(text -> VALID.matcher(text).matches());
        if (fingerprint.isEmpty()) {
            answer(response, callback, HttpStatus.BAD_REQUEST_400, "Name a fingerprint as in a line 'set aside'.");
        } else if (clear.test(fingerprint.get())) {
            answer(response, callback, HttpStatus.ACCEPTED_202, "Cleared here; the peers hear of it within a second.");
        } else {
            answer(response, callback, HttpStatus.SERVICE_UNAVAILABLE_503, "Too much is queued; send it again.");
        }
        return true;
    }

    private static void answer(Response response, Callback callback, int status, String text) {
        response.setStatus(status);
        response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
    }
}
