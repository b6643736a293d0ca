package org.cornelramp.gateway.follow;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Optional;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.route.ConfigHolder;
import org.cornelramp.platform.MetadataStore;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Serves the store's records that this process has read, and its configuration, to peers. Safe for use by any thread.
 */
public final class PeerRecordsHandler extends Handler.Abstract {
    /** Query parameter: offset from which on the peer needs records. */
    static final String FROM = "from";

    /** Query parameter: era of the store for which that offset is valid. */
    static final String ERA = "era";

    /** Path of the configuration in force. */
    static final String CONFIG = "/config";

    private static final String PREFIX = "/records/";

    private final RecordCache cache;
    private final ConfigHolder config;
    private final SteadyClock clock;

    public PeerRecordsHandler(RecordCache cache, ConfigHolder config, SteadyClock clock) {
        this.cache = cache;
        this.config = config;
        this.clock = clock;
    }

    static String path(MetadataStore.Topic topic) {
        return PREFIX + topic.name().toLowerCase(Locale.ROOT);
    }

    /** A numeric query parameter; negative if it is missing or unreadable, so that the peer gets all records. */
    private static long number(Request request, String name) {
        String text = Request.extractQueryParameters(request).getValue(name);
        try {
            return text == null ? -1 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (path.equals(CONFIG)) {
            answer(config.published().map(ConfigHolder.Published::source), response, callback);
            return true;
        }
        for (MetadataStore.Topic topic : MetadataStore.Topic.values()) {
            if (path(topic).equals(path)) {
                long era = number(request, ERA);
                long from = number(request, FROM);
                answer(
                        cache.recordsFrom(topic, era, from, clock.millis()).map(RecordsCodec::write),
                        response,
                        callback);
                return true;
            }
        }
        return false;
    }

    private static void answer(Optional<byte[]> body, Response response, Callback callback) {
        response.setStatus(body.isPresent() ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
        response.write(true, ByteBuffer.wrap(body.orElse(new byte[0])), callback);
    }
}
