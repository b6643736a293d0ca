package org.cornelramp.bench.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Stands between the two ends of TCP connections, to cut, delay or silence them.
 *
 * <p>Safe for use by any thread. A silent connection stays open and passes nothing more; new ones work.
 */
public final class Relay implements AutoCloseable {
    private static final int BUFFER = 16 << 10;

    private final ServerSocket server;
    private final int target;
    private final List<Pair> pairs = new CopyOnWriteArrayList<>();
    private volatile boolean refusing;
    private volatile boolean dark;
    private volatile boolean muted;
    private volatile long delayMillis;
    private volatile byte[] stray = new byte[0];

    /** Listens on {@code port} and passes connections on to {@code target}, both on loopback. */
    public Relay(int port, int target) {
        this.target = target;
        try {
            this.server = new ServerSocket(port, 64, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new FleetException("Could not listen on port " + port, e);
        }
        daemon("relay-" + port, this::accept);
    }

    /** Silences the connections that are open now, in both directions, for good. */
    public void silence() {
        pairs.forEach(pair -> pair.silent = true);
    }

    /** Closes the connections that are open now. */
    public void cut() {
        pairs.forEach(Pair::close);
    }

    /** Whether new connections are closed at once; with {@link #cut} this is a cut link. */
    public void refuse(boolean refuse) {
        refusing = refuse;
    }

    /** Whether nothing passes and nothing is closed, as before a machine without power. */
    public void darken(boolean now) {
        dark = now;
    }

    /** Whether nothing passes from the target back, while the way to it is open. */
    public void mute(boolean now) {
        muted = now;
    }

    /** Holds every piece of data up for so long. */
    public void delay(long millis) {
        delayMillis = millis;
    }

    /** Bytes that follow the next data from the target, as a faulty one might send; empty for none. */
    public void strayAfterNext(byte[] bytes) {
        stray = bytes.clone();
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new FleetException("Could not close a relay", e);
        }
        cut();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket near = server.accept();
                if (refusing) {
                    near.close();
                } else {
                    open(near);
                }
            } catch (IOException e) {
                // Closing the relay ends the wait for connections, and the loop's condition sees it. Any other
                // failure is of one connection, whose two ends find out for themselves.
                Thread.onSpinWait();
            }
        }
    }

    private void open(Socket near) throws IOException {
        Socket far;
        try {
            far = new Socket(InetAddress.getLoopbackAddress(), target);
        } catch (IOException e) {
            near.close();
            return;
        }
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        Pair pair = new Pair(near, far);
        pairs.add(pair);
        daemon("relay-out", () -> pair.pump(near, far, false));
        daemon("relay-in", () -> pair.pump(far, near, true));
    }

    private static void daemon(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    private byte[] takeStray() {
        byte[] bytes = stray;
        stray = new byte[0];
        return bytes;
    }

    /** The two connections of one passage. */
    private final class Pair {
        private final Socket near;
        private final Socket far;
        private volatile boolean silent;

        Pair(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        void pump(Socket from, Socket to, boolean back) {
            byte[] buffer = new byte[BUFFER];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    Thread.sleep(delayMillis);
                    if (!silent && !dark && !(back && muted)) {
                        out.write(buffer, 0, n);
                        out.write(back ? takeStray() : new byte[0]);
                    }
                }
            } catch (IOException e) {
                // One end has gone; the other must see it too, unless the passage is silent.
                close();
                return;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            close();
        }

        void close() {
            if (silent || dark) {
                return;
            }
            pairs.remove(this);
            try {
                near.close();
                far.close();
            } catch (IOException e) {
                throw new FleetException("Could not close a relayed connection", e);
            }
        }
    }
}
