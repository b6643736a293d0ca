package org.cornelramp.gateway.request;

import java.io.IOException;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.routing.Route;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.daemon.http.BodyReader;
import org.cornelramp.daemon.http.RefusedBodyDrain;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.gateway.metrics.Meters;
import org.cornelramp.gateway.request.OpenRequests.OpenRequest;
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
 * own besides the open requests. Safe for use by any thread.
 */
final class ClientRequestHandler {
    private final ConfigHolder config;
    private final Router router;
    private final SteadyClock clock;
    private final EventLog log;
    private final StartupRequestDelay earlyRequests;
    private final OpenRequests requests = new OpenRequests();
    private final BooleanSupplier closing;
    private final Meters meters;

    /** @param closing whether a connection is closed after its response; asked once for each response */
    ClientRequestHandler(
            ConfigHolder config,
            Router router,
            SteadyClock clock,
            EventLog log,
            BooleanSupplier closing,
            Meters meters) {
        this.config = config;
        this.earlyRequests = new StartupRequestDelay(config, clock.millis());
        this.router = router;
        this.clock = clock;
        this.log = log;
        this.closing = closing;
        this.meters = meters;
    }

    void handle(Request request, Response response, Callback callback) {
        OpenRequest opened = requests.open(request, response, callback);
        long now = clock.millis();
        // A request that waits for its response is not idle; a stalled read of the request still times out.
        request.addIdleTimeoutListener(timeout -> false);
        boolean delayed = config.current().isEmpty() && earlyRequests.tryDelay(request, () -> handle(opened, now), now);
        if (delayed) {
            log.routine("intake", "held")
                    .with("id", RequestHead.decode(request.getHeaders()).requestId())
                    .with("why", "no configuration yet")
                    .write();
        } else {
            handle(opened, now);
        }
    }

    /** Refuses the requests that are delayed or are still being read, as this process ends. */
    void refuseUnread() {
        for (OpenRequest opened : requests.unclaimed()) {
            refuse(opened, RequestHead.decode(opened.request().getHeaders()), leaving(), "the process ends");
        }
    }

    /** Number of requests whose response has not been written completely. */
    int openRequestCount() {
        return requests.count();
    }

    private Refusal leaving() {
        return Refusal.whileStopping(router.hasStayingPeer());
    }

    private void handle(OpenRequest opened, long now) {
        try {
            resolve(opened, now);
        } catch (RuntimeException e) {
            opened.claim();
            opened.callback().failed(e); // thrown on, it would leave the request open
        }
    }

    private void resolve(OpenRequest opened, long now) {
        Request request = opened.request();
        HttpFields fields = request.getHeaders().asImmutable();
        RequestHead head = RequestHead.decode(fields);
        Optional<RoutingConfig> version = config.current();
        if (version.isEmpty()) {
            refuse(opened, head, Refusal.NO_CONFIGURATION);
            return;
        }
        Optional<Route> route = version.get()
                .route(Exchange.ClientRequest.host(fields), request.getHttpURI().getCanonicalPath());
        if (route.isEmpty()) {
            refuse(opened, head, Refusal.NO_ROUTE);
            return;
        }
        long deadline = now + Exchange.ClientRequest.timeoutMillis(head, route.get());
        if (!router.shutdown().accepts(route.get(), deadline, clock.millis())) {
            refuse(opened, head, leaving());
            return;
        }
        Optional<RoutingConfig.Organisation> organisation = head.key().flatMap(version.get()::organisation);
        if (version.get().requiresKey(route.get()) && organisation.isEmpty()) {
            refuse(opened, head, Refusal.NO_KEY);
            return;
        }
        readBody(opened, new ResolvedHead(version.get(), route.get(), organisation, head, fields, now));
    }

    /** What was determined from the head of a request. Immutable. */
    private record ResolvedHead(
            RoutingConfig version,
            Route route,
            Optional<RoutingConfig.Organisation> organisation,
            RequestHead head,
            HttpFields fields,
            long now) {}

    private void readBody(OpenRequest opened, ResolvedHead resolved) {
        int maxBytes = resolved.version().limits().bodyBytes();
        new BodyReader(opened.request(), maxBytes, body -> {
                    if (body.isRight()) {
                        submit(opened, resolved, body.get());
                    } else if (body.getLeft().kind() == ProblemKind.REQUEST_TOO_LARGE) {
                        refuse(opened, resolved.head(), Refusal.TOO_LARGE, "the body is too large");
                    } else if (opened.claim()) {
                        opened.callback().failed(new IOException(body.getLeft().detail()));
                    }
                })
                .start();
    }

    private void submit(OpenRequest opened, ResolvedHead resolved, byte[] body) {
        if (!opened.claim()) {
            return;
        }
        Request request = opened.request();
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
        Exchange exchange =
                new Exchange(call, opened.response(), opened.callback(), closing, ClientDisconnectProbe.of(request));
        if (!router.offer(new RouterEvent.RequestReceived(exchange))) {
            exchange.refuse(Refusal.OVERLOADED, Refusal.OVERLOADED.retryMillis());
            logRefused(resolved.head(), Refusal.OVERLOADED, "the router's event queue is full");
        }
    }

    /** Refuses a request of which only the head has been read; its client sends the body before it reads the refusal. */
    private void refuse(OpenRequest opened, RequestHead head, Refusal refusal) {
        Request request = opened.request();
        String path = request.getHttpURI().getPath();
        String why = "host " + request.getHeaders().get(HttpHeader.HOST) + " path " + path;
        RefusedBodyDrain.discard(request, () -> refuse(opened, head, refusal, why));
    }

    private void refuse(OpenRequest opened, RequestHead head, Refusal refusal, String why) {
        if (opened.claim()) {
            logRefused(head, refusal, why);
            Exchange.refuse(
                    opened.response(), opened.callback(), refusal, refusal.retryMillis(), closing.getAsBoolean());
        }
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
