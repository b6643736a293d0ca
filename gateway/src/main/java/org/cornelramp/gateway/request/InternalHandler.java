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

/** Serves the metrics and delegates all other requests to another handler. Safe for use by any thread. */
public final class InternalHandler extends Handler.Abstract {
    private static final String METRICS_PATH = "/metrics";

    private final Meters meters;
    private final Handler others;

    /** @param others handles requests from peers and operators */
    public InternalHandler(Meters meters, Handler others) {
        this.meters = meters;
        this.others = others;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        if (!Request.getPathInContext(request).equals(METRICS_PATH)) {
            return others.handle(request, response, callback);
        }
        response.setStatus(HttpStatus.OK_200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8");
        response.write(true, ByteBuffer.wrap(meters.scrape().getBytes(StandardCharsets.UTF_8)), callback);
        return true;
    }
}
