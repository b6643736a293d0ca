package org.cornelramp.bench.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;

/**
 * Allocates free loopback ports, each once. Confined to one thread.
 *
 * <p>The ports lie below the operating system's range of ephemeral ports: a client connection could take an ephemeral
 * port before the process that is to listen on it has started.
 */
public final class Ports {
    private static final int FIRST = 12_000;
    private static final int LAST = 32_000;

    private final Set<Integer> allocated = new HashSet<>();
    private int next = FIRST + (int) (ProcessHandle.current().pid() * 131 % (LAST - FIRST));

    /** Returns a port that is free now and that this object returns to no other caller. */
    public int allocate() {
        for (int tries = FIRST; tries < LAST; tries++) {
            int port = next;
            next = next + 1 < LAST ? next + 1 : FIRST;
            if (allocated.add(port) && isFree(port)) {
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
