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
    /** The path that all calls start with. */
    static final String PREFIX = "/services/";

    private static final Set<String> IDEMPOTENT = Set.of("GET", "HEAD");

    ServiceHandler(EntryContext context) {
        super(context);
    }

    @Override
    void handle(Arrival arrival) {
        String path = arrival.request().getHttpURI().getPathQuery();
        Either<Problem, CallerRequest> request = service(path).flatMap(service -> admit(arrival, service));
        if (request.isLeft()) {
            refuse(arrival.answer(), request.getLeft());
            return;
        }
        Either<Problem, Optional<IdempotencyKey>> key = key(arrival);
        if (key.isLeft()) {
            refuse(arrival.answer(), key.getLeft());
            return;
        }
        submit(request.get(), key.get(), read(arrival, path, request.get(), key.get()));
    }

    private void submit(CallerRequest request, Optional<IdempotencyKey> key, ServiceRequest call) {
        boolean draining = context().draining().getAsBoolean();
        Optional<Problem> refusal = draining ? Optional.of(Refusals.leaving()) : Optional.empty();
        if (!context().intake().call(call, key, refusal)) {
            refuse(request.answer(), queueFull(key.isPresent()));
        }
    }

    /** A full ring leaves nobody to ask whether an earlier attempt with the key ran, so it is not denied. */
    private static Problem queueFull(boolean keyed) {
        Problem full = Refusals.overloaded("The entry's queue is full.");
        return keyed ? Problem.unknown(full.kind(), full.detail()).withRetryAfter(full.retryAfter()) : full;
    }

    private ServiceRequest read(Arrival arrival, String path, CallerRequest request, Optional<IdempotencyKey> key) {
        String method = arrival.request().getMethod();
        String contentType = Optional.ofNullable(arrival.header(HttpHeader.CONTENT_TYPE.asString()))
                .orElse("");
        String rest = rest(path);
        byte[] identity = (request.row().key() + "\n" + method + "\n" + rest + "\n" + contentType)
                .getBytes(StandardCharsets.UTF_8);
        return new ServiceRequest(
                request,
                IDEMPOTENT.contains(method),
                key.map(IdempotencyKey::text),
                key.map(IdempotencyKey::madeAt).orElse(arrival.at()),
                method,
                rest,
                contentType,
                arrival.body(),
                Callers.sha256(identity, arrival.body()));
    }

    private Either<Problem, Optional<IdempotencyKey>> key(Arrival arrival) {
        String text = arrival.header(Headers.IDEMPOTENCY_KEY);
        if (IDEMPOTENT.contains(arrival.request().getMethod())) {
            return Either.right(Optional.empty());
        }
        if (text == null) {
            return Either.left(Problem.notRun(
                    ProblemKind.KEY_MISSING, "A call that may not be repeated needs an idempotency key."));
        }
        Duration window = Duration.ofMillis(context().keyWindowMillis());
        return IdempotencyKey.read(text.strip(), arrival.at(), window).map(Optional::of);
    }

    private static Either<Problem, ServiceName> service(String path) {
        String name = path.substring(PREFIX.length()).split("[/?]", 2)[0];
        if (NameValidator.isValid(name)) {
            return Either.right(new ServiceName(name));
        }
        return Either.left(Problem.notRun(ProblemKind.UNKNOWN_SERVICE, "The path names no service."));
    }

    private static String rest(String path) {
        String all = path.substring(PREFIX.length());
        int at = all.indexOf('/');
        int query = all.indexOf('?');
        if (at >= 0 && (query < 0 || at < query)) {
            return all.substring(at);
        }
        return query < 0 ? "/" : "/" + all.substring(query);
    }
}
