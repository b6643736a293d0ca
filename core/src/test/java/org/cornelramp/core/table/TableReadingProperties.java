package org.cornelramp.core.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.TextNode;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Whatever the log forgets, and whoever writes snapshots late, every reader holds the fold of all records. */
public class TableReadingProperties {
    private static final int LOOKS = 200;

    enum Kind {
        EDIT,
        SNAPSHOT,
        FORGET,
        GARBAGE,
        READ
    }

    /** One thing that happens to the log or to the reader. */
    record Event(Kind kind, int row, int number) {}

    @Provide
    Arbitrary<List<Event>> events() {
        return Combinators.combine(
                        Arbitraries.of(
                                Kind.EDIT, Kind.EDIT, Kind.EDIT, Kind.SNAPSHOT, Kind.FORGET, Kind.GARBAGE, Kind.READ),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, 6))
                .as(Event::new)
                .list()
                .ofMaxSize(60);
    }

    private static void happen(LogModel log, Event event) {
        switch (event.kind()) {
            case EDIT -> log.edit(event.row(), event.number() + 1);
            case SNAPSHOT -> log.snapshot(event.number());
            case FORGET -> log.forget(event.number());
            case GARBAGE -> log.append(TextNode.valueOf("garbage"), log.next());
            case READ -> {
                // only the reader acts
            }
        }
    }

    @Property(seed = "21", tries = 500)
    void aReaderNeverFallsAndNeverHoldsAnythingButTheFold(@ForAll("events") List<Event> events) {
        LogModel log = new LogModel();
        TableReading reading = TableReading.start();
        for (Event event : events) {
            happen(log, event);
            if (event.kind() == Kind.READ) {
                TableReading after = log.read(reading, event.number() + 1);
                assertTrue(after.table().offset() >= reading.table().offset());
                assertEquals(after.table(), log.tables.get((int) after.table().offset()));
                assertEquals(after.divergences(), 0);
                reading = after;
            }
        }
    }

    @Property(seed = "22", tries = 500)
    void aFreshReaderReachesTheEndOrSaysThatItIsStuck(@ForAll("events") List<Event> events) {
        LogModel log = new LogModel();
        events.forEach(event -> happen(log, event));
        TableReading reading = TableReading.start();
        for (int i = 0; i < LOOKS && !reading.isAtEnd() && reading.phase() != TableReading.Phase.STUCK; i++) {
            reading = log.read(reading, 3);
        }
        assertEquals(reading.isAtEnd(), log.isReadable());
        assertEquals(reading.phase() == TableReading.Phase.STUCK, !log.isReadable());
        if (reading.isAtEnd()) {
            assertEquals(reading.table(), log.table());
        }
    }

    @Property(seed = "23", tries = 300)
    void aStuckReaderGoesOnFromAPeersTable(@ForAll("events") List<Event> events) {
        LogModel log = new LogModel();
        events.forEach(event -> happen(log, event));
        log.edit(0, 1);
        log.oldest = log.next();
        TableReading reading = TableReading.start();
        for (int i = 0; i < LOOKS && reading.phase() != TableReading.Phase.STUCK; i++) {
            reading = log.read(reading, 3);
        }
        reading = log.read(reading.onPeerTable(log.table()), 3);
        assertTrue(reading.isAtEnd());
        assertEquals(reading.table(), log.table());
    }
}
