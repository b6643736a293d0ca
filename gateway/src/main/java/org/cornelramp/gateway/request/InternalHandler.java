package org.cornelramp.gateway.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.cornelramp.gateway.metrics.Meters;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves the metrics and delegates all other requests to the handler for peers. Safe for use by any thread. */
public final class InternalHandler extends Handler.Abstract {
    private static final String METRICS_PATH = "/metrics";

    private final Meters meters;
    private final Handler peers;

    /** @param peers handles requests from peers */
    public InternalHandler(Meters meters, Handler peers) {
        this.meters = meters;
        this.peers = peers;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        if (!Request.getPathInContext(request).equals(METRICS_PATH)) {
            return peers.handle(request, response, callback);
        }
        response.setStatus(HttpStatus.OK_200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8");
        response.write(true, ByteBuffer.wrap(meters.scrape().getBytes(StandardCharsets.UTF_8)), callback);
        return true;
    }
}
