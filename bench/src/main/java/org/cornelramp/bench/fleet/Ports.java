package org.cornelramp.bench.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/**
 * Hands out free loopback ports, each once. Confined to one thread.
 *
 * <p>A port is probed below the range from which the system draws the ports of outgoing connections; a drawn
 * port could be taken by a client connection before the process that is to listen on it has started.
 */
public final class Ports {
    private static final int FIRST = 12_000;
    private static final int LAST = 32_000;

    private final Set<Integer> given = new HashSet<>();
    private int next = FIRST + (int) (ProcessHandle.current().pid() * 131 % (LAST - FIRST));

    /** A port that was free a moment ago and that nobody else is given. */
    public int take() {
        for (int tries = FIRST; tries < LAST; tries++) {
            int port = next;
            next = next + 1 < LAST ? next + 1 : FIRST;
            if (given.add(port) && isFree(port)) {
                return port;
            }
        }
        throw new FleetException("No free port between " + FIRST + " and " + LAST);
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
