package org.cornelramp.gateway.request;

import java.io.IOException;
import java.util.Locale;
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
import org.cornelramp.platform.CallHead;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Reads a client's request, finds its route and organisation, and hands it to the router. Stateless but for its
 * parts, safe for use by any thread.
 */
final class Intake {
    private final ConfigHolder config;
    private final Router router;
    private final SteadyClock clock;
    private final EventLog log;
    private final EarlyRequests early;
    private final BooleanSupplier leaving;
    private final Predicate<RouteKind> refuses;
    private final Meters meters;

    /**
     * @param leaving whether connections are closed after their answers
     * @param refuses whether new requests of a kind are refused because this process stops
     */
    Intake(
            ConfigHolder config,
            Router router,
            SteadyClock clock,
            EventLog log,
            BooleanSupplier leaving,
            Predicate<RouteKind> refuses,
            Meters meters) {
        this.config = config;
        this.early = new EarlyRequests(config, clock.millis());
        this.router = router;
        this.clock = clock;
        this.log = log;
        this.leaving = leaving;
        this.refuses = refuses;
        this.meters = meters;
    }

    void handle(Request request, Response response, Callback callback) {
        long now = clock.millis();
        // A request that waits for its answer is not idle; reads and writes that stall still time out.
        request.addIdleTimeoutListener(timeout -> false);
        boolean held =
                config.current().isEmpty() && early.hold(request, () -> handle(request, response, callback, now), now);
        if (held) {
            log.ordinary("intake", "held")
                    .with("id", CallHead.decode(request.getHeaders()).requestId())
                    .with("why", "no configuration yet")
                    .write();
        } else {
            handle(request, response, callback, now);
        }
    }

    private void handle(Request request, Response response, Callback callback, long now) {
        HttpFields fields = request.getHeaders().asImmutable();
        CallHead head = CallHead.decode(fields);
        Optional<RoutingConfig> version = config.current();
        if (version.isEmpty()) {
            refuse(request, response, callback, head, Refusal.NO_CONFIGURATION);
            return;
        }
        Optional<Route> route =
                version.get().route(host(fields), request.getHttpURI().getCanonicalPath());
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
        read(request, response, callback, new Known(version.get(), route.get(), organisation, head, fields, now));
    }

    /** What the head of a request has shown. Immutable. */
    private record Known(
            RoutingConfig version,
            Route route,
            Optional<RoutingConfig.Organisation> organisation,
            CallHead head,
            HttpFields fields,
            long now) {}

    private void read(Request request, Response response, Callback callback, Known known) {
        int most = known.version().limits().bodyBytes();
        new BodyReader(request, most, body -> {
                    if (body.isRight()) {
                        handOver(request, response, callback, known, body.get());
                    } else if (body.getLeft().kind() == ProblemKind.REQUEST_TOO_LARGE) {
                        refuse(request, response, callback, known.head(), Refusal.TOO_LARGE);
                    } else {
                        callback.failed(new IOException(body.getLeft().detail()));
                    }
                })
                .start();
    }

    private void handOver(Request request, Response response, Callback callback, Known known, byte[] body) {
        Route route = known.route();
        long wait = Math.min(known.head().remainingMillis().orElse(Long.MAX_VALUE), route.timeoutMillis());
        Exchange.Call call = new Exchange.Call(
                known.head(),
                request.getMethod(),
                request.getHttpURI().getPathQuery(),
                known.fields(),
                body,
                route,
                known.organisation().map(RoutingConfig.Organisation::id),
                known.organisation()
                        .flatMap(RoutingConfig.Organisation::priority)
                        .orElse(route.priority()),
                known.now(),
                known.now() + wait);
        Exchange exchange = new Exchange(call, response, callback, leaving, ClientProbe.of(request));
        if (!router.offer(new RouterEvent.RequestReceived(exchange))) {
            exchange.refuse(Refusal.OVERLOADED, Refusal.OVERLOADED.retryMillis());
            logRefused(known.head(), Refusal.OVERLOADED, "the router's ring is full");
        }
    }

    private void refuse(Request request, Response response, Callback callback, CallHead head, Refusal refusal) {
        String path = request.getHttpURI().getPath();
        logRefused(head, refusal, "host " + request.getHeaders().get(HttpHeader.HOST) + " path " + path);
        Exchange.refuse(response, callback, refusal, refusal.retryMillis(), leaving.getAsBoolean());
    }

    private void logRefused(CallHead head, Refusal refusal, String why) {
        meters.refused(refusal.name());
        log.line("intake", "refused")
                .with("id", head.requestId())
                .with("as", refusal)
                .with("why", why)
                .with(
                        "configVersion",
                        config.current().map(RoutingConfig::version).orElse(-1L))
                .write();
    }

    private static String host(HttpFields fields) {
        String host = fields.get(HttpHeader.HOST);
        if (host == null) {
            return "";
        }
        int port = host.lastIndexOf(':');
        return (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
    }
}
