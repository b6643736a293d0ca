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
 * What a stand-in ran, for the checkers: the newest events, numbered from 0, and all events in a file if there is
 * one. Safe for use by any thread.
 *
 * <p>A process that is killed takes its memory with it, and a checker would miss what ran last. An event is written
 * to the file before the answer goes out, one line each, and the file outlives the process.
 */
public final class Trace {
    private static final int MAX_EVENTS = 200_000;

    private final Deque<Object> events = new ArrayDeque<>();
    private final Optional<OutputStream> file;
    private final String life;
    private long next;

    /** A trace without a file. */
    public Trace() {
        this.file = Optional.empty();
        this.life = "";
    }

    /**
     * A trace that is also appended to a file, as lines {@code {"life":…,"event":…}}.
     *
     * @param life life of the process, by which its events are told from those of an earlier one
     */
    public Trace(Path path, String life) {
        try {
            this.file = Optional.of(Files.newOutputStream(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
        } catch (IOException e) {
            throw new UncheckedIOException("Give --trace-file a path that can be written", e);
        }
        this.life = life;
    }

    /** Adds an event. */
    public synchronized void add(Object event) {
        file.ifPresent(out -> write(out, event));
        if (events.size() == MAX_EVENTS) {
            events.removeFirst();
        }
        events.addLast(event);
        next++;
    }

    /** The events from a number on. */
    public synchronized Page from(long from) {
        long oldest = next - events.size();
        List<Object> part = events.stream().skip(Math.max(0, from - oldest)).collect(Collectors.toUnmodifiableList());
        return new Page(oldest, next, part);
    }

    private void write(OutputStream out, Object event) {
        try {
            String line = Json.MAPPER.writeValueAsString(Map.of("life", life, "event", event)) + "\n";
            out.write(line.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException("The trace file cannot be written", e);
        }
    }

    /**
     * Part of a trace.
     *
     * @param oldest number of the oldest event kept
     * @param next number of the next event
     * @param events the events
     */
    public record Page(long oldest, long next, List<Object> events) {}
}
