package org.cornelramp.standins.http;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Events that record what a stand-in ran, for the checkers. Keeps the newest events in memory, numbered from 0, and
 * appends all events to a file if one is given. Safe for use by any thread.
 *
 * <p>The events in memory are lost when the process is killed, and a checker would miss what ran last. Each event is
 * therefore written to the file, as one line, before the response is sent.
 */
public final class Trace {
    private static final int MAX_EVENTS = 200_000;

    private final Deque<Object> events = new ArrayDeque<>();
    private final Optional<OutputStream> file;
    private final String incarnation;
    private long nextNumber;

    /** A trace without a file. */
    public Trace() {
        this.file = Optional.empty();
        this.incarnation = "";
    }

    /**
     * A trace that is also appended to a file, as lines {@code {"life":…,"event":…}}.
     *
     * @param incarnation identifies this run of the process, so that its events can be distinguished from those of an
     *     earlier run
     */
    public Trace(Path path, String incarnation) {
        try {
            this.file = Optional.of(Files.newOutputStream(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot open the trace file; give --trace-file a writable path", e);
        }
        this.incarnation = incarnation;
    }

    /** Adds an event; throws {@link UncheckedIOException} if it cannot be written to the file. */
    public synchronized void add(Object event) {
        file.ifPresent(out -> write(out, event));
        if (events.size() == MAX_EVENTS) {
            events.removeFirst();
        }
        events.addLast(event);
        nextNumber++;
    }

    /** The kept events whose number is at least {@code from}. */
    public synchronized Page eventsFrom(long from) {
        long oldest = nextNumber - events.size();
        List<Object> selected =
                events.stream().skip(Math.max(0, from - oldest)).collect(Collectors.toUnmodifiableList());
        return new Page(oldest, nextNumber, selected);
    }

    private void write(OutputStream out, Object event) {
        try {
            String line = Json.MAPPER.writeValueAsString(Map.of("life", incarnation, "event", event)) + "\n";
            out.write(line.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot append to the trace file", e);
        }
    }

    /**
     * A range of events of a trace.
     *
     * @param oldest number of the oldest event kept
     * @param next number of the next event
     * @param events the events
     */
    public record Page(long oldest, long next, List<Object> events) {}
}
