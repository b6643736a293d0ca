package org.cornelramp.daemon.http;

import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import org.eclipse.jetty.server.Handler;

/**
 * The routes that plug-ins register for the HTTP server: a method and a path, or a path prefix ending in a slash.
 *
 * <p>Safe for use by any thread. Invariant: one handler for each method and path.
 */
public final class Routes {
    private final ConcurrentSkipListMap<String, Handler> handlers = new ConcurrentSkipListMap<>();

    /** Adds a route; a path that ends in a slash matches every path below it. */
    public void add(String method, String path, Handler handler) {
        if (handlers.putIfAbsent(method + " " + path, handler) != null) {
            throw new IllegalStateException(
                    "Two plug-ins register the route " + method + " " + path + "; remove one of them");
        }
    }

    /** Returns the handler of the exact path, else that of the longest matching prefix that ends in a slash. */
    public Optional<Handler> find(String method, String path) {
        Handler exact = handlers.get(method + " " + path);
        if (exact != null) {
            return Optional.of(exact);
        }
        for (int at = path.lastIndexOf('/'); at >= 0; at = path.lastIndexOf('/', at - 1)) {
            Handler prefix = handlers.get(method + " " + path.substring(0, at + 1));
            if (prefix != null) {
                return Optional.of(prefix);
            }
        }
        return Optional.empty();
    }
}
