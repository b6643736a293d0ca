package org.cornelramp.daemon.entry;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.cornelramp.core.key.IdempotencyKey;
import org.cornelramp.core.model.NameValidator;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.model.ServiceName;
import org.eclipse.jetty.http.HttpHeader;

/** Serves {@code /services/{service}/{path}}: calls to plain services. Safe for use by any thread. */
final class ServiceHandler extends EntryHandler {
    /** Prefix of the path of all calls. */
    static final String PREFIX = "/services/";

    private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD");

    ServiceHandler(EntryContext context) {
        super(context);
    }

    @Override
    void handle(ReceivedRequest received) {
        String path = received.request().getHttpURI().getPathQuery();
        Either<Problem, CallerRequest> request =
                readService(path).flatMap(service -> toCallerRequest(received, service));
        if (request.isLeft()) {
            refuse(received.answer(), request.getLeft());
            return;
        }
        Either<Problem, Optional<IdempotencyKey>> key = readKey(received);
        if (key.isLeft()) {
            refuse(received.answer(), key.getLeft());
            return;
        }
        submit(request.get(), key.get(), toServiceRequest(received, path, request.get(), key.get()));
    }

    private void submit(CallerRequest request, Optional<IdempotencyKey> key, ServiceRequest call) {
        boolean draining = context().draining().getAsBoolean();
        Optional<Problem> refusal = draining ? Optional.of(Refusals.leaving()) : Optional.empty();
        if (!context().intake().submitCall(call, key, refusal)) {
            refuse(request.answer(), queueFull(key.isPresent()));
        }
    }

    /**
     * Returns the problem for a full ring. Without the router nobody can find out whether an earlier attempt with the
     * key ran, so the outcome of a call with a key is unknown.
     */
    private static Problem queueFull(boolean keyed) {
        Problem full = Refusals.overloaded("The entry's queue is full.");
        return keyed ? Problem.unknown(full.kind(), full.detail()).withRetryAfter(full.retryAfter()) : full;
    }

    private ServiceRequest toServiceRequest(
            ReceivedRequest received, String path, CallerRequest request, Optional<IdempotencyKey> key) {
        String method = received.request().getMethod();
        String contentType = Optional.ofNullable(received.header(HttpHeader.CONTENT_TYPE.asString()))
                .orElse("");
        String servicePath = pathWithinService(path);
        byte[] identity = (request.row().key() + "\n" + method + "\n" + servicePath + "\n" + contentType)
                .getBytes(StandardCharsets.UTF_8);
        return new ServiceRequest(
                request,
                IDEMPOTENT_METHODS.contains(method),
                key.map(IdempotencyKey::text),
                key.map(IdempotencyKey::madeAt).orElse(received.arrivedAt()),
                method,
                servicePath,
                contentType,
                received.body(),
                CallerAuthenticator.sha256(identity, received.body()));
    }

    private Either<Problem, Optional<IdempotencyKey>> readKey(ReceivedRequest received) {
        String text = received.header(Headers.IDEMPOTENCY_KEY);
        if (IDEMPOTENT_METHODS.contains(received.request().getMethod())) {
            return Either.right(Optional.empty());
        }
        if (text == null) {
            return Either.left(Problem.notRun(
                    ProblemKind.KEY_MISSING, "A call that is not idempotent needs an Idempotency-Key header."));
        }
        Duration window = Duration.ofMillis(context().keyWindowMillis());
        return IdempotencyKey.read(text.strip(), received.arrivedAt(), window).map(Optional::of);
    }

    private static Either<Problem, ServiceName> readService(String path) {
        String name = path.substring(PREFIX.length()).split("[/?]", 2)[0];
        if (NameValidator.isValid(name)) {
            return Either.right(new ServiceName(name));
        }
        return Either.left(Problem.notRun(ProblemKind.UNKNOWN_SERVICE, "The path names no service."));
    }

    private static String pathWithinService(String path) {
        String afterPrefix = path.substring(PREFIX.length());
        int slash = afterPrefix.indexOf('/');
        int query = afterPrefix.indexOf('?');
        if (slash >= 0 && (query < 0 || slash < query)) {
            return afterPrefix.substring(slash);
        }
        return query < 0 ? "/" : "/" + afterPrefix.substring(query);
    }
}
