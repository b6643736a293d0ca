package org.cornelramp.gateway.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import org.cornelramp.core.operate.OperatorJson;
import org.cornelramp.core.operate.RouteExplanation;
import org.cornelramp.core.operate.RouteExplanationError;
import org.cornelramp.core.routing.Route;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.route.ConfigHolder;
import org.cornelramp.gateway.route.RouterEvent;
import org.cornelramp.platform.RequestHead;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Tells operators what would be decided on a request now: {@code GET /route/explain?route=NAME}, with the parameters of
 * {@link ExplainQuery}. The router's thread computes the explanation; nothing is sent to a server. Safe for use by any
 * thread.
 *
 * <p>Invariant: at most {@value #PER_SECOND} calls are handled in a second, each of which takes the router's thread a few
 * searches for a path, and this one a comparison with all keys.
 */
public final class RouteExplainHandler extends Handler.Abstract {
    /** Path of the explanations on the metrics address. */
    private static final String PATH = "/route/explain";

    private static final int PER_SECOND = 4;
    private static final long SECOND_MILLIS = 1_000;

    /** Longest time until the router's thread answers, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 1_000;

    private static final byte[] NO_BODY = new byte[0];

    private final ConfigHolder config;
    private final Predicate<RouterEvent> router;
    private final SteadyClock clock;
    private long secondStartMillis = Long.MIN_VALUE / 2;
    private int countInSecond;

    /** @param router queues an event for the router's thread; false if too many are queued */
    public RouteExplainHandler(ConfigHolder config, Predicate<RouterEvent> router, SteadyClock clock) {
        this.config = config;
        this.router = router;
        this.clock = clock;
    }

    /** An error with the status of its response. Immutable. */
    private record Fault(int status, RouteExplanationError error) {
        static Fault of(int status, String error, String remedy) {
            return new Fault(status, new RouteExplanationError(error, remedy));
        }
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (!Request.getPathInContext(request).equals(PATH)) {
            return false;
        }
        long now = clock.millis();
        Either<Fault, Exchange.ClientRequest> asked = check(request, now).flatMap(checked -> resolve(checked, now));
        if (asked.isLeft()) {
            write(response, callback, asked.getLeft());
        } else {
            explain(asked.get(), request, response, callback);
        }
        return true;
    }

    private Either<Fault, Request> check(Request request, long now) {
        if (!HttpMethod.GET.is(request.getMethod())) {
            return Either.left(Fault.of(
                    HttpStatus.METHOD_NOT_ALLOWED_405,
                    "The method is not allowed.",
                    "Send a GET, which changes nothing."));
        }
        if (!tryCount(now)) {
            return Either.left(Fault.of(
                    HttpStatus.TOO_MANY_REQUESTS_429,
                    "This gateway explains at most " + PER_SECOND + " decisions a second.",
                    "Ask again in a second, or ask another gateway."));
        }
        return Either.right(request);
    }

    private synchronized boolean tryCount(long now) {
        if (now - secondStartMillis >= SECOND_MILLIS) {
            secondStartMillis = now;
            countInSecond = 0;
        }
        countInSecond++;
        return countInSecond <= PER_SECOND;
    }

    private void explain(Exchange.ClientRequest call, Request request, Response response, Callback callback) {
        CompletableFuture<RouteExplanation> answer = new CompletableFuture<>();
        if (!router.test(new RouterEvent.ExplanationRequested(call, answer))) {
            write(
                    response,
                    callback,
                    Fault.of(
                            HttpStatus.SERVICE_UNAVAILABLE_503,
                            "Too many events wait for the router of this gateway.",
                            "Ask again in a second, or ask another gateway."));
            return;
        }
        // The answer is written by another thread, as the router's thread must not wait for an operator.
        var unused = answer.orTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenCompleteAsync(
                        (explanation, failure) -> {
                            if (failure == null) {
                                write(response, callback, HttpStatus.OK_200, explanation);
                            } else {
                                write(response, callback, fault(failure));
                            }
                        },
                        request.getComponents().getExecutor());
    }

    private static Fault fault(Throwable failure) {
        return failure instanceof TimeoutException
                ? Fault.of(
                        HttpStatus.SERVICE_UNAVAILABLE_503,
                        "The router of this gateway did not answer within " + TIMEOUT_MILLIS + " ms.",
                        "Ask again; if it stays so, the gateway is overloaded: ask another one.")
                : Fault.of(
                        HttpStatus.INTERNAL_SERVER_ERROR_500,
                        "The decision can't be computed: " + failure.getClass().getSimpleName() + ".",
                        "Ask another gateway, and report the error.");
    }

    private Either<Fault, Exchange.ClientRequest> resolve(Request request, long now) {
        Optional<RoutingConfig> version = config.current();
        if (version.isEmpty()) {
            return Either.left(Fault.of(
                    HttpStatus.SERVICE_UNAVAILABLE_503,
                    "This gateway has no configuration yet.",
                    "Ask again soon; if it stays so, look for lines 'not read' in its log."));
        }
        return ExplainQuery.parse(Request.extractQueryParameters(request))
                .mapLeft(error -> new Fault(HttpStatus.BAD_REQUEST_400, error))
                .flatMap(query -> findRoute(query, version.get())
                        .flatMap(route -> findOrganisation(query, route, version.get())
                                .map(organisation -> call(query, route, organisation, now))));
    }

    private static Either<Fault, Route> findRoute(ExplainQuery query, RoutingConfig version) {
        List<Route> named = query.route()
                .map(version::routesNamed)
                .orElseGet(
                        () -> version.route(query.host(), query.path()).stream().toList());
        if (named.size() == 1) {
            return Either.right(named.get(0));
        }
        if (named.size() > 1) {
            return Either.left(Fault.of(
                    HttpStatus.BAD_REQUEST_400,
                    "Several routes have the name " + query.route().orElse("") + ".",
                    "Give host and path instead."));
        }
        String what = query.route()
                .map(name -> "There is no route with the name " + name)
                .orElseGet(() -> "No route takes host " + query.host() + " and path " + query.path());
        return Either.left(Fault.of(
                HttpStatus.NOT_FOUND_404,
                what + " in version " + version.version() + " of the configuration.",
                "Check the spelling, and that the configuration with the route is in force here."));
    }

    private static Either<Fault, Optional<RoutingConfig.Organisation>> findOrganisation(
            ExplainQuery query, Route route, RoutingConfig version) {
        Optional<RoutingConfig.Organisation> organisation = query.keyId().flatMap(version::organisationByKeyId);
        if (query.keyId().isPresent() && organisation.isEmpty()) {
            return Either.left(Fault.of(
                    HttpStatus.NOT_FOUND_404,
                    "No organisation has a key with this id in version " + version.version() + " of the configuration.",
                    "Print the id of the key with 'cornelramp key hash FILE', and check that the key is published."));
        }
        if (organisation.isEmpty() && version.requiresKey(route)) {
            return Either.left(Fault.of(
                    HttpStatus.BAD_REQUEST_400,
                    "A request on the route " + route.name() + " needs a key; without one it is refused with status "
                            + Refusal.NO_KEY.status() + ".",
                    "Give the id of a key, which 'cornelramp key hash FILE' prints."));
        }
        return Either.right(organisation);
    }

    private static Exchange.ClientRequest call(
            ExplainQuery query, Route route, Optional<RoutingConfig.Organisation> organisation, long now) {
        HttpFields fields = HttpFields.build(RequestHead.fields(
                        query.requestId(), query.promptTokens(), query.outputTokens(), query.promptPrefix()))
                .put(HttpHeader.HOST, route.host());
        return Exchange.ClientRequest.of(
                RequestHead.decode(fields),
                HttpMethod.POST.asString(),
                query.route().isPresent() ? route.pathPrefix() : query.path(),
                fields,
                NO_BODY,
                route,
                organisation,
                now);
    }

    private static void write(Response response, Callback callback, Fault fault) {
        if (fault.status() == HttpStatus.TOO_MANY_REQUESTS_429) {
            response.getHeaders().put(HttpHeader.RETRY_AFTER, SECOND_MILLIS / 1_000);
        }
        write(response, callback, fault.status(), fault.error());
    }

    private static void write(Response response, Callback callback, int status, Object document) {
        try {
            byte[] body = OperatorJson.STRICT.writeValueAsBytes(document);
            response.setStatus(status);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
            response.write(true, ByteBuffer.wrap(body), callback);
        } catch (JsonProcessingException e) {
            callback.failed(e);
        }
    }
}
