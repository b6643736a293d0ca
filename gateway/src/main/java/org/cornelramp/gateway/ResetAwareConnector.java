package org.cornelramp.gateway;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Map;
import java.util.concurrent.Executor;
import org.cornelramp.platform.ConnectTracker;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connector for backend servers with three differences from its parent: a connection reset fails the response, a
 * connect times out only if the peer has not accepted it, and a response has a limit of its bytes.
 *
 * <p>The default end point treats a reset like an orderly close. A response without a length ends with its connection,
 * so a response that was cut off by a crash would look complete, and the client would get a part of it as a success.
 *
 * <p>The default connect timer checks whether the selector has finished the connect. In a process that is short of
 * processor time the timer may run before the selector does, and connections that live servers accepted long ago would
 * be given up. As thread-safe as its parent.
 */
final class ResetAwareConnector extends ClientConnector {
    private final ConnectTracker connectWatch;
    private final SelectorAwareScheduler connectTimers;

    /**
     * @param connectWatch notified of the begin and end of each connect
     * @param connectTimers scheduler of the connect timeouts
     */
    ResetAwareConnector(ConnectTracker connectWatch, SelectorAwareScheduler connectTimers) {
        this.connectWatch = connectWatch;
        this.connectTimers = connectTimers;
    }

    /**
     * Returns null, since no connection uses TLS. The default factory loads some 600 classes, which takes a quarter of
     * the processor time of a start.
     */
    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return null;
    }

    @Override
    protected void configure(SelectableChannel selectable) throws IOException {
        super.configure(selectable);
        connectWatch.started((SocketChannel) selectable);
    }

    @Override
    protected void connectFailed(
            SelectableChannel selectable, SocketAddress address, Throwable failure, Map<String, Object> context) {
        connectWatch.finished((SocketChannel) selectable);
        super.connectFailed(selectable, address, failure, context);
    }

    @Override
    protected SelectorManager newSelectorManager() {
        return new TimeoutAwareSelectorManager(getExecutor(), connectTimers, getSelectors());
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel selectable, ManagedSelector selector, SelectionKey key) {
        connectWatch.finished((SocketChannel) selectable);
        return new ResetAwareEndPoint((SocketChannel) selectable, selector, key, getScheduler());
    }

    /** Attaches its selector to the scheduler of the connect timeouts. As thread-safe as its parent. */
    private final class TimeoutAwareSelectorManager extends ClientSelectorManager {
        TimeoutAwareSelectorManager(Executor executor, Scheduler scheduler, int selectors) {
            super(executor, scheduler, selectors);
        }

        @Override
        protected ManagedSelector newSelector(int id) {
            ManagedSelector selector = super.newSelector(id);
            connectTimers.attach(selector);
            return selector;
        }
    }

    /**
     * Propagates the exception of a failed read instead of treating it as the end of input, and fails a read beyond the
     * limit of a response. As thread-safe as its parent.
     */
    private static final class ResetAwareEndPoint extends SocketChannelEndPoint implements ResponseMeter {
        /** Longest time between two reads that counts as receiving; a longer one is a pause and does not count. */
        private static final long MAX_RECEIVING_NANOS = 100_000_000L;

        private static final long NANOS_PER_MILLI = 1_000_000L;

        private long bytes;
        private long framingBytes;
        private boolean contentReported;
        private long receivingNanos;
        private long lastReadNanos;

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
                    recordRead(filled);
                } else if (filled < 0) {
                    shutdownInput();
                }
                return filled;
            } finally {
                BufferUtil.flipToFlush(buffer, position);
            }
        }

        @Override
        public boolean flush(ByteBuffer... buffers) throws IOException {
            beginResponse();
            return super.flush(buffers);
        }

        private synchronized void beginResponse() {
            contentReported = false;
            recordProgress();
        }

        private synchronized void recordRead(int count) throws ResponseLimitException {
            long now = System.nanoTime();
            long sinceLastRead = now - lastReadNanos;
            receivingNanos += bytes == 0 || sinceLastRead > MAX_RECEIVING_NANOS ? 0 : sinceLastRead;
            lastReadNanos = now;
            bytes += count;
            if (bytes > MAX_BYTES) {
                throw new ResponseLimitException("the response exceeds " + MAX_BYTES + " bytes without progress");
            }
            framingBytes += contentReported ? count : 0;
            if (framingBytes > MAX_FRAMING_BYTES) {
                throw new ResponseLimitException(
                        "the framing of the response exceeds " + MAX_FRAMING_BYTES + " bytes without progress");
            }
        }

        @Override
        public synchronized void beginContent() {
            contentReported = true;
            framingBytes = 0;
        }

        @Override
        public synchronized void recordContent(int count) {
            framingBytes = Math.max(0, framingBytes - count);
        }

        @Override
        public synchronized void recordProgress() {
            bytes = 0;
            framingBytes = 0;
            receivingNanos = 0;
        }

        @Override
        public synchronized long receivingMillis() {
            return receivingNanos / NANOS_PER_MILLI;
        }
    }
}
