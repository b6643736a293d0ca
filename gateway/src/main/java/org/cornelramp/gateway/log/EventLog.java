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
 * Writes one JSON object a line: each decision on a request and each change of belief.
 *
 * <p>The volume is bounded: ordinary lines are sampled to {@value #ORDINARY_PER_SECOND} a second, failures and
 * changes of belief are always offered to a ring of {@value #RING}, and a full ring drops the line and counts it. A
 * reader that does not take the output stops only the writing thread, never a request. Safe for use by any thread.
 */
public final class EventLog {
    /** Ordinary lines a second; a calm day has fewer, and a flood must not cost a tenth of a core. */
    static final int ORDINARY_PER_SECOND = 60;

    private static final int RING = 4_096;
    private static final long PAUSE_NANOS = 40_000_000;

    private final OutputStream out;
    private final Clock clock;
    private final String process;
    private final MpscArrayQueue<String> ring = new MpscArrayQueue<>(RING);
    private final LongAdder dropped = new LongAdder();
    private final Thread thread = new Thread(this::run, "log");
    private volatile boolean running = true;
    private long second;
    private int ordinary;
    private long skipped;

    /**
     * @param out where lines go
     * @param clock gives the time of day of each line
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

    /** Writes what is left and ends the thread. */
    public void stop() {
        running = false;
        LockSupport.unpark(thread);
        try {
            thread.join(500);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A line that is always kept: a failure or a change of belief. */
    public Line line(String part, String event) {
        return new Line(true, part, event);
    }

    /** A line of ordinary work, kept as far as the rate allows. */
    public Line ordinary(String part, String event) {
        return new Line(takeOrdinary(), part, event);
    }

    /** Lines that were lost because the ring was full. */
    public long dropped() {
        return dropped.sum();
    }

    private synchronized boolean takeOrdinary() {
        long now = System.nanoTime() / 1_000_000_000L;
        if (now != second) {
            second = now;
            ordinary = 0;
        }
        ordinary++;
        if (ordinary <= ORDINARY_PER_SECOND) {
            return true;
        }
        skipped++;
        return false;
    }

    private void run() {
        StringBuilder batch = new StringBuilder();
        long told = 0;
        while (running || !ring.isEmpty()) {
            for (String line = ring.poll(); line != null; line = ring.poll()) {
                batch.append(line).append('\n');
            }
            long lost = dropped.sum();
            if (lost != told) {
                told = lost;
                batch.append("{\"part\":\"log\",\"event\":\"dropped\",\"lines\":" + lost + "}\n");
            }
            if (!write(batch)) {
                return;
            }
            LockSupport.parkNanos(this, PAUSE_NANOS);
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
            dropped.increment(); // standard output is gone, so there is no place left to say it
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

        /** Adds a text. */
        public Line with(String name, String value) {
            if (text != null) {
                text.append(",\"").append(name).append("\":\"");
                JsonStringEncoder.getInstance().quoteAsString(value, text);
                text.append('"');
            }
            return this;
        }

        /** Adds anything by its text. */
        public Line with(String name, Object value) {
            return text == null ? this : with(name, String.valueOf(value));
        }

        /** Adds a whole number. */
        public Line with(String name, long value) {
            if (text != null) {
                text.append(",\"").append(name).append("\":").append(value);
            }
            return this;
        }

        /** Offers the line to the writer. */
        public void write() {
            if (text != null && !ring.offer(text.append('}').toString())) {
                dropped.increment();
            }
        }
    }

    /** Ordinary lines that the rate did not allow. */
    public synchronized long skipped() {
        return skipped;
    }
}
