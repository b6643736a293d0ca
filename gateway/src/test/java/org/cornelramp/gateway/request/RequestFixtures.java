package org.cornelramp.gateway.request;

import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.routing.Route;
import org.cornelramp.core.routing.RouteKind;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.core.routing.WeightedService;
import org.cornelramp.platform.RequestHead;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;

/** Clients' requests, and probes of their connections, without sockets. Stateless. */
final class RequestFixtures {
    private static final Route STREAMS = new Route(
            "chat",
            "host",
            "/chat/",
            RouteKind.STREAMING,
            9_000,
            500,
            200,
            1,
            2,
            false,
            true,
            List.of(new WeightedService(new ServiceName("llm"), 1)));

    private RequestFixtures() {}

    /** A request for a stream that may be resumed. */
    static Exchange.ClientRequest stream(String id, long receivedMillis) {
        return on(STREAMS, id, receivedMillis);
    }

    /** A request on a route. */
    static Exchange.ClientRequest on(Route route, String id, long receivedMillis) {
        return on(route, id, route.pathPrefix() + "a", new byte[0], receivedMillis);
    }

    /** A request on a route with this path and body. */
    static Exchange.ClientRequest on(Route route, String id, String path, byte[] body, long receivedMillis) {
        return on(route, HeaderFixtures.request(id), path, body, receivedMillis);
    }

    /** A request on a route for the events after one that the client has. */
    static Exchange.ClientRequest resumption(Route route, String id, long lastEventId, long receivedMillis) {
        HttpFields fields = HeaderFixtures.resumption(id, lastEventId);
        return on(route, fields, route.pathPrefix() + "a", new byte[0], receivedMillis);
    }

    /** A request on a route with these headers, path and body. */
    static Exchange.ClientRequest on(Route route, HttpFields fields, String path, byte[] body, long receivedMillis) {
        return on(route, Optional.empty(), fields, path, body, receivedMillis);
    }

    /** A request on a route with these headers, path and body, whose key an organisation holds. */
    static Exchange.ClientRequest on(
            Route route,
            Optional<RoutingConfig.Organisation> keyHolder,
            HttpFields fields,
            String path,
            byte[] body,
            long receivedMillis) {
        return new Exchange.ClientRequest(
                RequestHead.decode(fields),
                "POST",
                path,
                fields,
                body,
                route,
                keyHolder.map(RoutingConfig.Organisation::id),
                Exchange.ClientRequest.priority(route, keyHolder),
                receivedMillis,
                receivedMillis + route.timeoutMillis());
    }

    /** A probe that reads from this end point. */
    static ClientDisconnectProbe probe(EndPoint endPoint) {
        return new ClientDisconnectProbe(endPoint, new AbstractConnection(endPoint, Runnable::run) {
            @Override
            public void onFillable() {
                throw new AssertionError("only the probe reads");
            }
        });
    }
}
