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

/** With any retention and with late snapshots, every reader computes the fold of all records. */
public class TableReadStateProperties {
    private static final int MAX_READS = 200;

    enum Kind {
        EDIT,
        SNAPSHOT,
        TRUNCATE,
        GARBAGE,
        READ
    }

    /** One change of the log, or one read. */
    record Event(Kind kind, int row, int number) {}

    @Provide
    Arbitrary<List<Event>> events() {
        return Combinators.combine(
                        Arbitraries.of(
                                Kind.EDIT, Kind.EDIT, Kind.EDIT, Kind.SNAPSHOT, Kind.TRUNCATE, Kind.GARBAGE, Kind.READ),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, 6))
                .as(Event::new)
                .list()
                .ofMaxSize(60);
    }

    private static void applyToLog(InMemoryLog log, Event event) {
        switch (event.kind()) {
            case EDIT -> log.edit(event.row(), event.number() + 1);
            case SNAPSHOT -> log.snapshot(event.number());
            case TRUNCATE -> log.truncate(event.number());
            case GARBAGE -> log.append(TextNode.valueOf("garbage"), log.next());
            case READ -> {
                // no change of the log
            }
        }
    }

    @Property(seed = "21", tries = 500)
    void offsetNeverDecreasesAndTableIsTheFold(@ForAll("events") List<Event> events) {
        InMemoryLog log = new InMemoryLog();
        TableReadState state = TableReadState.start();
        for (Event event : events) {
            applyToLog(log, event);
            if (event.kind() == Kind.READ) {
                TableReadState after = log.read(state, event.number() + 1);
                assertTrue(after.table().offset() >= state.table().offset());
                assertEquals(after.table(), log.tables.get((int) after.table().offset()));
                assertEquals(after.divergentSnapshots(), 0);
                state = after;
            }
        }
    }

    @Property(seed = "22", tries = 500)
    void newReaderReachesTheEndOrIsStuck(@ForAll("events") List<Event> events) {
        InMemoryLog log = new InMemoryLog();
        events.forEach(event -> applyToLog(log, event));
        TableReadState state = TableReadState.start();
        for (int i = 0; i < MAX_READS && !state.isAtEnd() && state.phase() != TableReadState.Phase.STUCK; i++) {
            state = log.read(state, 3);
        }
        assertEquals(state.isAtEnd(), log.isReadable());
        assertEquals(state.phase() == TableReadState.Phase.STUCK, !log.isReadable());
        if (state.isAtEnd()) {
            assertEquals(state.table(), log.table());
        }
    }

    @Property(seed = "23", tries = 300)
    void stuckReaderContinuesFromPeerTable(@ForAll("events") List<Event> events) {
        InMemoryLog log = new InMemoryLog();
        events.forEach(event -> applyToLog(log, event));
        log.edit(0, 1);
        log.oldest = log.next();
        TableReadState state = TableReadState.start();
        for (int i = 0; i < MAX_READS && state.phase() != TableReadState.Phase.STUCK; i++) {
            state = log.read(state, 3);
        }
        state = log.read(state.onPeerTable(log.table()), 3);
        assertTrue(state.isAtEnd());
        assertEquals(state.table(), log.table());
    }
}
