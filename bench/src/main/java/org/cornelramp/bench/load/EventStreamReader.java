package org.cornelramp.bench.load;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits a stream of server-sent events into their data lines. Confined to one thread at a time. */
final class EventStreamReader {
    private static final String DATA = "data:";

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** Consumes bytes and returns the data lines that they complete, in order. */
    List<String> read(ByteBuffer bytes) {
        List<String> complete = new ArrayList<>();
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next != '\n') {
                line.write(next);
                continue;
            }
            String text = line.toString(StandardCharsets.UTF_8).strip();
            line.reset();
            if (text.startsWith(DATA)) {
                complete.add(text.substring(DATA.length()).strip());
            }
        }
        return complete;
    }
}
