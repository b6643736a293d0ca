package org.cornelramp.daemon.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Answers each request with a text from a supplier. Safe for use by any thread if the supplier is. */
public final class TextHandler extends Handler.Abstract {
    private final Supplier<Text> source;

    /**
     * An answer. Immutable, safe for use by any thread.
     *
     * @param status HTTP status
     * @param contentType media type
     * @param body the body
     */
    public record Text(int status, String contentType, String body) {}

    public TextHandler(Supplier<Text> source) {
        this.source = source;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Text text = source.get();
        response.setStatus(text.status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, text.contentType());
        response.write(true, ByteBuffer.wrap(text.body().getBytes(StandardCharsets.UTF_8)), callback);
        return true;
    }
}
