package org.cornelramp.gateway;

import java.util.Optional;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Connection;

/**
 * Measures what a connection receives for one response, also the parts that the HTTP library skips or keeps, such as
 * chunk extensions and trailers. A write to the connection, which is a request, starts it again. Safe for use by any
 * thread.
 */
public interface ResponseMeter {
    /**
     * Most bytes of a response between two signs of progress. Twice the longest valid response that is buffered, as
     * short chunks need more bytes than their content.
     */
    long MAX_BYTES = 8 << 20;

    /**
     * Most bytes that frame the content of a response between two signs of progress, such as chunk headers and chunk
     * extensions: 64 for each of as many chunks as {@code ResponseBuffer} accepts. The HTTP library reads them one by one,
     * and 8 MB of them took 70 ms of processor time.
     */
    long MAX_FRAMING_BYTES = 1 << 20;

    /** Records that a valid part of a response that may continue has been accepted. */
    void recordProgress();

    /**
     * Records that the head of a response has arrived and that its content is reported to {@link #recordContent} from now
     * on, until the next request.
     */
    void beginContent();

    /** Records content of a response; the other bytes received are its framing. */
    void recordContent(int count);

    /**
     * Time for which bytes have been arriving since the last progress, in milliseconds, without the pauses in between.
     */
    long receivingMillis();

    /** The meter of the connection that a request was sent on; empty before. */
    static Optional<ResponseMeter> of(Request request) {
        return request.getConnection() instanceof Connection own && own.getEndPoint() instanceof ResponseMeter meter
                ? Optional.of(meter)
                : Optional.empty();
    }
}
