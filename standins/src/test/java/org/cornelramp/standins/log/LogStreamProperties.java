package org.cornelramp.standins.log;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Offsets are consecutive and never reused, whichever records are dropped between appends. */
class LogStreamProperties {

    @Property(seed = "7741", tries = 200)
    void offsetsContinueAfterDrops(
            @ForAll @Size(max = 20) List<@IntRange(min = 1, max = 5) Integer> appends,
            @ForAll @IntRange(max = 50) int dropped) {
        LogStream stream = new LogStream();
        long expected = 0;
        for (int count : appends) {
            assertEquals(stream.append(records(count), 1), expected);
            expected += count;
            stream.dropBelowOffset(dropped);
        }
        LogStream.Page page = stream.read(0, 1_000);
        assertEquals(page.next(), expected);
        assertEquals(page.oldest(), Math.min(dropped, expected));
        assertEquals(page.records().size(), page.next() - page.oldest());
    }

    private static ArrayNode records(int count) {
        ArrayNode records = JsonNodeFactory.instance.arrayNode();
        for (int i = 0; i < count; i++) {
            records.add(i);
        }
        return records;
    }
}
