package org.cornelramp.gateway;

import java.io.IOException;

/** A response has more bytes than a valid one may have. The server's process has not ended. Immutable. */
public final class ResponseLimitException extends IOException {
    private static final long serialVersionUID = 1L;

    ResponseLimitException(String message) {
        super(message);
    }
}
