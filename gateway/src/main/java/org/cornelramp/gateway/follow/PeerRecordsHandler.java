package org.cornelramp.gateway.follow;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Optional;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.platform.MetadataStore;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Gives peers the store's records as this process has read them. Safe for use by any thread. */
public final class PeerRecordsHandler extends Handler.Abstract {
    private static final String PREFIX = "/records/";

    private final RecordCache cache;
    private final SteadyClock clock;

    public PeerRecordsHandler(RecordCache cache, SteadyClock clock) {
        this.cache = cache;
        this.clock = clock;
    }

    static String path(MetadataStore.Topic topic) {
        return PREFIX + topic.name().toLowerCase(Locale.ROOT);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        for (MetadataStore.Topic topic : MetadataStore.Topic.values()) {
            if (path(topic).equals(Request.getPathInContext(request))) {
                Optional<MetadataStore.Page> page = cache.fresh(topic, clock.millis());
                response.setStatus(page.isPresent() ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
                byte[] body = page.map(RecordsCodec::write).orElse(new byte[0]);
                response.write(true, ByteBuffer.wrap(body), callback);
                return true;
            }
        }
        return false;
    }
}
