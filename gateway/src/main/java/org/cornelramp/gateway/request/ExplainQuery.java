package org.cornelramp.gateway.request;

import io.vavr.control.Either;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;
import org.cornelramp.core.operate.RouteExplanationError;
import org.cornelramp.core.routing.KeyId;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.util.Fields;

/**
 * The request that an operator asks about, as named by the parameters of a query. Immutable, safe for use by any thread.
 *
 * @param route name of its route ({@code route}); empty if host and path are given
 * @param host its host ({@code host}), in lower case
 * @param path its canonical path ({@code path})
 * @param keyId id of the organisation's key ({@code keyId}); empty for a request without a key
 * @param requestId its id ({@code requestId}), by which a service is chosen where the route has several
 * @param promptTokens tokens of its prompt ({@code promptTokens}); 0 if not given
 * @param outputTokens maximum tokens of its answer ({@code outputTokens}); 0 if not given
 * @param promptPrefix the parts of its prompt ({@code promptPrefix}), ID:TOKENS separated by commas
 */
record ExplainQuery(
        Optional<String> route,
        String host,
        String path,
        Optional<KeyId> keyId,
        String requestId,
        int promptTokens,
        int outputTokens,
        Optional<String> promptPrefix) {
    /** Most characters of a parameter; the parts of a prompt are the longest. */
    private static final int MAX_LENGTH = 4_096;

    private static final Pattern REQUEST_ID = Pattern.compile("[!-~]{0,200}");
    private static final Pattern TOKENS = Pattern.compile("\\d{1,9}");
    private static final Pattern PREFIX =
            Pattern.compile("\\p{XDigit}{1,64}:\\d{1,9}(,\\p{XDigit}{1,64}:\\d{1,9}){0,32}");

    /** Reads the parameters. An error repeats no value of {@code keyId}, which may be a key by mistake. */
    static Either<RouteExplanationError, ExplainQuery> parse(Fields parameters) {
        for (Fields.Field field : parameters) {
            String value = field.getValue();
            if (value != null && value.length() > MAX_LENGTH) {
                return error(field.getName() + " is too long.", "Give at most " + MAX_LENGTH + " characters.");
            }
        }
        Optional<String> route = text(parameters, "route");
        String path = text(parameters, "path").orElse("");
        if (route.isEmpty() && (text(parameters, "host").isEmpty() || !path.startsWith("/"))) {
            return error("The request is not named.", "Give route, or host and a path that begins with a slash.");
        }
        Optional<String> canonical = path.isEmpty() ? Optional.of("") : canonicalPath(path);
        if (canonical.isEmpty()) {
            return error("path is malformed.", "Give the path of the request as its client sends it.");
        }
        String requestId = text(parameters, "requestId").orElse("");
        if (!REQUEST_ID.matcher(requestId).matches()) {
            return error("requestId is malformed.", "Give at most 200 printable ASCII characters without spaces.");
        }
        Optional<String> keyId = text(parameters, "keyId");
        if (keyId.isPresent() && keyId.flatMap(KeyId::parse).isEmpty()) {
            return error(
                    "keyId is not the id of a key.",
                    "Give the 64 hexadecimal digits that 'cornelramp key hash FILE' prints, never the key itself.");
        }
        Optional<String> prefix = text(parameters, "promptPrefix");
        if (prefix.filter(parts -> !PREFIX.matcher(parts).matches()).isPresent()) {
            return error(
                    "promptPrefix is malformed.",
                    "Give at most 33 entries ID:TOKENS separated by commas, with hexadecimal ids, as in ab12:40,77:634.");
        }
        for (String name : new String[] {"promptTokens", "outputTokens"}) {
            if (text(parameters, name)
                    .filter(digits -> !TOKENS.matcher(digits).matches())
                    .isPresent()) {
                return error(name + " is not a number of tokens.", "Give a number from 0 to 999999999.");
            }
        }
        return Either.right(new ExplainQuery(
                route,
                text(parameters, "host").orElse("").toLowerCase(Locale.ROOT),
                canonical.get(),
                keyId.flatMap(KeyId::parse),
                requestId,
                tokens(parameters, "promptTokens"),
                tokens(parameters, "outputTokens"),
                prefix));
    }

    private static Optional<String> canonicalPath(String path) {
        try {
            return Optional.ofNullable(HttpURI.from(path).getCanonicalPath()).filter(found -> found.startsWith("/"));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static int tokens(Fields parameters, String name) {
        return text(parameters, name).map(Integer::parseInt).orElse(0);
    }

    private static Optional<String> text(Fields parameters, String name) {
        return Optional.ofNullable(parameters.getValue(name)).map(String::strip).filter(value -> !value.isEmpty());
    }

    private static <T> Either<RouteExplanationError, T> error(String error, String remedy) {
        return Either.left(new RouteExplanationError(error, remedy));
    }
}
