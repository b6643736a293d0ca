package org.cornelramp.gateway.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * However a stream is cut into chunks, the splitter returns whole events in order, and the last id is that of the last
 * event.
 */
class EventSplitterProperties {

    @Property(tries = 300, seed = "3")
    void returnsWholeEventsOnly(
            @ForAll @IntRange(max = 20) int events,
            @ForAll @Size(max = 60) List<@IntRange(min = 1, max = 30) Integer> cuts) {
        StringBuilder whole = new StringBuilder();
        for (int i = 0; i < events; i++) {
            whole.append(i % 3 == 0 ? "weights: 3\n" : "")
                    .append("id: ")
                    .append(i)
                    .append("\ndata: p")
                    .append(i);
            whole.append("\n\n");
        }
        byte[] bytes = whole.toString().getBytes(StandardCharsets.UTF_8);
        EventSplitter splitter = new EventSplitter(-1);
        StringBuilder out = new StringBuilder();
        int at = 0;
        for (int cut : cuts) {
            int to = Math.min(bytes.length, at + cut);
            String part = StandardCharsets.UTF_8
                    .decode(splitter.consume(ByteBuffer.wrap(bytes, at, to - at)))
                    .toString();
            out.append(part);
            at = to;
            check(out.toString(), whole.substring(0, at), splitter);
        }
    }

    private static void check(String out, String in, EventSplitter splitter) {
        int end = in.lastIndexOf("\n\n");
        String expected = end < 0 ? "" : in.substring(0, end + 2);
        int id = expected.lastIndexOf("id: ");
        long lastId = id < 0 ? -1 : Long.parseLong(expected.substring(id + 4, expected.indexOf('\n', id)));
        if (!out.equals(expected)
                || splitter.received().lastId() != lastId
                || splitter.isWhole() != expected.equals(in)) {
            throw new AssertionError("in [" + in + "] out [" + out + "] last "
                    + splitter.received().lastId());
        }
    }

    /** Guards against unbounded buffering when a faulty server sends bytes that never complete an event. */
    @Example
    void limitsTheSizeOfAnUnfinishedEvent() {
        EventSplitter splitter = new EventSplitter(-1);
        byte[] part = new byte[1 << 16];
        for (int i = 0; i <= 1 << 4; i++) {
            splitter.consume(ByteBuffer.wrap(part));
        }
        if (!splitter.hasOverflowed() || splitter.isWhole()) {
            throw new AssertionError("an unfinished event is buffered without limit");
        }
    }

    /**
     * Guards against events without an id that take a write each: 28,000 of 9 bytes fit in the limit of bytes. Some events
     * with an id in between keep the stream valid.
     */
    @Example
    void limitsTheNumberOfWritesWithoutAnId() {
        EventSplitter splitter = new EventSplitter(-1);
        byte[] unnamed = "data: x\n\n".getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < 2_000; i++) {
            splitter.consume(ByteBuffer.wrap(unnamed));
            if (i % 1_000 == 0) {
                splitter.consume(ByteBuffer.wrap(("id: " + i + "\n\n").getBytes(StandardCharsets.UTF_8)));
            }
        }
        if (splitter.hasOverflowed()) {
            throw new AssertionError("a stream with an id every 1,000 events is rejected");
        }
        for (int i = 0; i < 2_000; i++) {
            splitter.consume(ByteBuffer.wrap(unnamed));
        }
        if (!splitter.hasOverflowed()) {
            throw new AssertionError("3,000 events without an id are forwarded");
        }
    }
}
