package org.cornelramp.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Connects to backend servers such that a reset connection fails the answer.
 *
 * <p>The usual end point takes a reset for an ordinary end. An answer without a length ends with its connection, so
 * one that was cut by a crash would look whole, and the client would get half an answer as a success.
 */
final class ResetAwareConnector extends ClientConnector {

    /**
     * None: all connections are plain. The usual one loads some 600 classes for TLS, which takes a quarter of the
     * processor time of a start.
     */
    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return null;
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel selectable, ManagedSelector selector, SelectionKey key) {
        return new ResetAwareEndPoint((SocketChannel) selectable, selector, key, getScheduler());
    }

    /** Passes a failed read on. As thread-safe as its parent. */
    private static final class ResetAwareEndPoint extends SocketChannelEndPoint {
        ResetAwareEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
            super(channel, selector, key, scheduler);
        }

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            if (isInputShutdown()) {
                return -1;
            }
            int position = BufferUtil.flipToFill(buffer);
            try {
                int filled = getChannel().read(buffer);
                if (filled > 0) {
                    notIdle();
                } else if (filled < 0) {
                    shutdownInput();
                }
                return filled;
            } finally {
                BufferUtil.flipToFlush(buffer, position);
            }
        }
    }
}
