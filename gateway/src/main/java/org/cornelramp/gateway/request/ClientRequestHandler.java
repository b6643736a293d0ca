package org.cornelramp.gateway.request;

import java.io.IOException;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.routing.Route;
import org.cornelramp.core.routing.RouteKind;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.daemon.http.BodyReader;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.route.ConfigHolder;
import org.cornelramp.gateway.route.Router;
import org.cornelramp.gateway.route.RouterEvent;
import org.cornelramp.platform.RequestHead;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Reads a client's request, determines its route and organisation, and hands it to the router. Holds no state of its
 * own besides its collaborators. Safe for use by any thread.
 */
final class ClientRequestHandler {
    private final ConfigHolder config;
    private final Router router;
    private final SteadyClock clock;
    private final EventLog log;
    private final StartupRequestDelay earlyRequests;
    private final BooleanSupplier closing;
    private final Predicate<RouteKind> refuses;
    private final Meters meters;

    /**
     * @param closing whether a connection is closed after its response; asked once for each response
     * @param refuses whether new requests of a kind are refused because this process is stopping
     */
    ClientRequestHandler(
            ConfigHolder config,
            Router router,
            SteadyClock clock,
            EventLog log,
            BooleanSupplier closing,
            Predicate<RouteKind> refuses,
            Meters meters) {
        this.config = config;
        this.earlyRequests = new StartupRequestDelay(config, clock.millis());
        this.router = router;
        this.clock = clock;
        this.log = log;
        this.closing = closing;
        this.refuses = refuses;
        this.meters = meters;
    }

    void handle(Request request, Response response, Callback callback) {
        long now = clock.millis();
        // A request that waits for its response is not idle; a stalled read of the request still times out.
        request.addIdleTimeoutListener(timeout -> false);
        boolean delayed = config.current().isEmpty()
                && earlyRequests.tryDelay(request, () -> handle(request, response, callback, now), now);
        if (delayed) {
            log.routine("intake", "held")
                    .with("id", RequestHead.decode(request.getHeaders()).requestId())
                    .with("why", "no configuration yet")
                    .write();
        } else {
            handle(request, response, callback, now);
        }
    }

    private void handle(Request request, Response response, Callback callback, long now) {
        HttpFields fields = request.getHeaders().asImmutable();
        RequestHead head = RequestHead.decode(fields);
        Optional<RoutingConfig> version = config.current();
        if (version.isEmpty()) {
            refuse(request, response, callback, head, Refusal.NO_CONFIGURATION);
            return;
        }
        Optional<Route> route = version.get()
                .route(Exchange.ClientRequest.host(fields), request.getHttpURI().getCanonicalPath());
        if (route.isEmpty()) {
            refuse(request, response, callback, head, Refusal.NO_ROUTE);
            return;
        }
        if (refuses.test(route.get().kind())) {
            Refusal refusal = router.hasStayingPeer() ? Refusal.LEAVING : Refusal.ALL_LEAVING;
            refuse(request, response, callback, head, refusal);
            return;
        }
        Optional<RoutingConfig.Organisation> organisation = head.key().flatMap(version.get()::organisation);
        if (version.get().requiresKey(route.get()) && organisation.isEmpty()) {
            refuse(request, response, callback, head, Refusal.NO_KEY);
            return;
        }
        readBody(
                request,
                response,
                callback,
                new ResolvedHead(version.get(), route.get(), organisation, head, fields, now));
    }

    /** What was determined from the head of a request. Immutable. */
    private record ResolvedHead(
            RoutingConfig version,
            Route route,
            Optional<RoutingConfig.Organisation> organisation,
            RequestHead head,
            HttpFields fields,
            long now) {}

    private void readBody(Request request, Response response, Callback callback, ResolvedHead resolved) {
        int maxBytes = resolved.version().limits().bodyBytes();
        new BodyReader(request, maxBytes, body -> {
                    if (body.isRight()) {
                        submit(request, response, callback, resolved, body.get());
                    } else if (body.getLeft().kind() == ProblemKind.REQUEST_TOO_LARGE) {
                        refuse(request, response, callback, resolved.head(), Refusal.TOO_LARGE);
                    } else {
                        callback.failed(new IOException(body.getLeft().detail()));
                    }
                })
                .start();
    }

    private void submit(Request request, Response response, Callback callback, ResolvedHead resolved, byte[] body) {
        Exchange.ClientRequest call = Exchange.ClientRequest.of(
                resolved.head(),
                request.getMethod(),
                request.getHttpURI().getPathQuery(),
                resolved.fields(),
                body,
                resolved.route(),
                resolved.organisation(),
                resolved.now());
        IdleTimeoutExtension.begin(request, call.deadlineMillis() - resolved.now());
        Exchange exchange = new Exchange(call, response, callback, closing, ClientDisconnectProbe.of(request));
        if (!router.offer(new RouterEvent.RequestReceived(exchange))) {
            exchange.refuse(Refusal.OVERLOADED, Refusal.OVERLOADED.retryMillis());
            logRefused(resolved.head(), Refusal.OVERLOADED, "the router's event queue is full");
        }
    }

    private void refuse(Request request, Response response, Callback callback, RequestHead head, Refusal refusal) {
        String path = request.getHttpURI().getPath();
        logRefused(head, refusal, "host " + request.getHeaders().get(HttpHeader.HOST) + " path " + path);
        Exchange.refuse(response, callback, refusal, refusal.retryMillis(), closing.getAsBoolean());
    }

    private void logRefused(RequestHead head, Refusal refusal, String why) {
        meters.countRefusal(refusal.name());
        log.line("intake", "refused")
                .with("id", head.requestId())
                .with("as", refusal)
                .with("why", why)
                .with(
                        "configVersion",
                        config.current().map(RoutingConfig::version).orElse(-1L))
                .write();
    }
}
