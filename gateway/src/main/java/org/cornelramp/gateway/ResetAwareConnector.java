package org.cornelramp.gateway;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Map;
import java.util.concurrent.Executor;
import org.cornelramp.platform.ConnectWatch;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Connects to backend servers such that a reset connection fails the answer, and that a connect runs into its timeout only
 * when the other side has not taken it.
 *
 * <p>The usual end point takes a reset for an ordinary end. An answer without a length ends with its connection, so
 * one that was cut by a crash would look whole, and the client would get half an answer as a success.
 *
 * <p>The usual timer of a connect asks whether the selector has finished it. In a process short of processor time the
 * selector's turn comes after the timer's, and connections that living servers had long taken would be given up. As
 * thread-safe as its parent.
 */
final class ResetAwareConnector extends ClientConnector {
    private final ConnectWatch connects;
    private final TurnAwareScheduler connectTimers;

    /**
     * @param connects is told of each connect
     * @param connectTimers limits the time of each connect
     */
    ResetAwareConnector(ConnectWatch connects, TurnAwareScheduler connectTimers) {
        this.connects = connects;
        this.connectTimers = connectTimers;
    }

    /**
     * None: all connections are plain. The usual one loads some 600 classes for TLS, which takes a quarter of the
     * processor time of a start.
     */
    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return null;
    }

    @Override
    protected void configure(SelectableChannel selectable) throws IOException {
        super.configure(selectable);
        connects.begun((SocketChannel) selectable);
    }

    @Override
    protected void connectFailed(
            SelectableChannel selectable, SocketAddress address, Throwable failure, Map<String, Object> context) {
        connects.ended((SocketChannel) selectable);
        super.connectFailed(selectable, address, failure, context);
    }

    @Override
    protected SelectorManager newSelectorManager() {
        return new TurnAwareSelectorManager(getExecutor(), connectTimers, getSelectors());
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel selectable, ManagedSelector selector, SelectionKey key) {
        connects.ended((SocketChannel) selectable);
        return new ResetAwareEndPoint((SocketChannel) selectable, selector, key, getScheduler());
    }

    /** Limits the time of its connects by timers that wait for its selector. As thread-safe as its parent. */
    private final class TurnAwareSelectorManager extends ClientSelectorManager {
        TurnAwareSelectorManager(Executor executor, Scheduler scheduler, int selectors) {
            super(executor, scheduler, selectors);
        }

        @Override
        protected ManagedSelector newSelector(int id) {
            ManagedSelector selector = super.newSelector(id);
            connectTimers.attach(selector);
            return selector;
        }
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
