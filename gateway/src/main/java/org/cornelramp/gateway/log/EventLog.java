package org.cornelramp.gateway.log;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * Writes structured log lines, one JSON object per line: decisions on requests, and changes in what the gateway assumes
 * about servers and its peers.
 *
 * <p>The volume is bounded: routine lines are sampled to {@value #ROUTINE_PER_SECOND} per second, failures and changed
 * assumptions are always offered to a ring buffer of {@value #RING_CAPACITY} lines, and a full ring buffer drops the
 * line and counts it. If nobody reads the output, only the writing thread blocks, never a request. Safe for use by any
 * thread.
 */
public final class EventLog {
    /**
     * Routine lines per second: more than occur under normal load; a flood of lines must not cost a tenth of a core.
     */
    static final int ROUTINE_PER_SECOND = 60;

    private static final int RING_CAPACITY = 4_096;
    private static final long POLL_INTERVAL_NANOS = 40_000_000;

    private final OutputStream out;
    private final Clock clock;
    private final String process;
    private final MpscArrayQueue<String> buffer = new MpscArrayQueue<>(RING_CAPACITY);
    private final LongAdder dropped = new LongAdder();
    private final Thread thread = new Thread(this::run, "log");
    private volatile boolean running = true;
    private long currentSecond;
    private int routineThisSecond;
    private long skipped;

    /**
     * @param out the stream that lines are written to
     * @param clock supplies the timestamp of each line
     * @param process name of this process
     */
    public EventLog(OutputStream out, Clock clock, String process) {
        this.out = out;
        this.clock = clock;
        this.process = process;
        thread.setDaemon(true);
    }

    /** Starts the writing thread. */
    public void start() {
        thread.start();
    }

    /** Writes the remaining lines and ends the thread; waits for it for at most half a second. */
    public void stop() {
        running = false;
        LockSupport.unpark(thread);
        try {
            thread.join(500);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Begins a line that is never sampled out: a failure or a changed assumption. */
    public Line line(String part, String event) {
        return new Line(true, part, event);
    }

    /** Begins a routine line, which is kept only as far as the rate limit allows. */
    public Line routine(String part, String event) {
        return new Line(admitRoutine(), part, event);
    }

    /** Number of lines that were dropped because the ring buffer was full. */
    public long dropped() {
        return dropped.sum();
    }

    private synchronized boolean admitRoutine() {
        long now = System.nanoTime() / 1_000_000_000L;
        if (now != currentSecond) {
            currentSecond = now;
            routineThisSecond = 0;
        }
        routineThisSecond++;
        if (routineThisSecond <= ROUTINE_PER_SECOND) {
            return true;
        }
        skipped++;
        return false;
    }

    private void run() {
        StringBuilder batch = new StringBuilder();
        long reportedDrops = 0;
        while (running || !buffer.isEmpty()) {
            for (String line = buffer.poll(); line != null; line = buffer.poll()) {
                batch.append(line).append('\n');
            }
            long drops = dropped.sum();
            if (drops != reportedDrops) {
                reportedDrops = drops;
                batch.append("{\"part\":\"log\",\"event\":\"dropped\",\"lines\":" + drops + "}\n");
            }
            if (!write(batch)) {
                return;
            }
            LockSupport.parkNanos(this, POLL_INTERVAL_NANOS);
        }
    }

    private boolean write(StringBuilder batch) {
        if (batch.length() == 0) {
            return true;
        }
        try {
            out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException e) {
            dropped.increment(); // the output is closed, so the failure cannot be logged
            return false;
        }
        batch.setLength(0);
        return true;
    }

    /** A line under construction. Confined to one thread. */
    public final class Line {
        private final StringBuilder text;

        private Line(boolean kept, String part, String event) {
            this.text = kept ? new StringBuilder(256) : null;
            if (kept) {
                text.append("{\"time\":").append(clock.millis()).append(",\"process\":\"");
                text.append(process).append('"');
                with("part", part).with("event", event);
            }
        }

        /** Adds a string field. */
        public Line with(String name, String value) {
            if (text != null) {
                text.append(",\"").append(name).append("\":\"");
                JsonStringEncoder.getInstance().quoteAsString(value, text);
                text.append('"');
            }
            return this;
        }

        /** Adds a field with the string form of a value. */
        public Line with(String name, Object value) {
            return text == null ? this : with(name, String.valueOf(value));
        }

        /** Adds an integer field. */
        public Line with(String name, long value) {
            if (text != null) {
                text.append(",\"").append(name).append("\":").append(value);
            }
            return this;
        }

        /** Offers the line to the writer. */
        public void write() {
            if (text != null && !buffer.offer(text.append('}').toString())) {
                dropped.increment();
            }
        }
    }

    /** Number of routine lines that the rate limit suppressed. */
    public synchronized long skipped() {
        return skipped;
    }
}
