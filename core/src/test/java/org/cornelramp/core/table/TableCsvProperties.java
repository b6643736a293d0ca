package org.cornelramp.core.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Written rows and tables read back unchanged; any other input yields faults or rows, never an exception. */
public class TableCsvProperties {

    @Provide
    Arbitrary<List<Row>> rows() {
        return Combinators.combine(
                        Arbitraries.integers().between(1, RowChecks.MAX_WEIGHT),
                        Arbitraries.doubles().between(0, RowChecks.MAX_RATE),
                        Arbitraries.longs().between(-1, Long.MAX_VALUE),
                        Arbitraries.integers().between(0, 2))
                .as((weight, rate, version, keys) -> {
                    List<String> hashes = new ArrayList<>();
                    for (int i = 0; i < keys; i++) {
                        hashes.add(Integer.toHexString(i).repeat(64));
                    }
                    RowValues values = new RowValues(weight, 3, rate, 7, 0, 1_000, 99.5, hashes);
                    return new Row(InMemoryLog.key(weight), version, values);
                })
                .list()
                .uniqueElements(Row::key)
                .ofMaxSize(5);
    }

    @Provide
    Arbitrary<String> garbage() {
        Arbitrary<String> pieces = Arbitraries.of(
                String.join(",", TableCsv.COLUMNS),
                "\n",
                ",",
                "\"",
                "o",
                "1",
                "-1",
                "1e999",
                "NaN",
                "\uFEFF",
                " ",
                "x,y");
        return Arbitraries.oneOf(
                Arbitraries.strings().ofMaxLength(200),
                pieces.list().ofMaxSize(60).map(list -> String.join("", list)));
    }

    @Property(seed = "51", tries = 300)
    void writtenRowsReadBackUnchanged(@ForAll("rows") List<Row> rows) {
        Either<List<CsvFault>, List<TableCsv.CsvRow>> read = TableCsv.read(TableCsv.write(rows));
        assertEquals(read.get().stream().map(TableCsv.CsvRow::row).toList(), rows);
    }

    @Property(seed = "52", tries = 1_000)
    void garbageGivesFaultsWithLineNumbers(@ForAll("garbage") String text) {
        TableCsv.read(text)
                .peekLeft(faults -> {
                    assertTrue(!faults.isEmpty());
                    faults.forEach(fault -> assertTrue(fault.line() >= 1, fault.toString()));
                })
                .peek(rows -> rows.forEach(
                        row -> assertEquals(RowChecks.validate(row.row().values()), List.of())));
    }

    @Property(seed = "53", tries = 500)
    void garbageIsNoSnapshot(@ForAll byte[] bytes) {
        FoldedTable base = FoldedTable.empty().atOffset(7);
        assertTrue(TableSnapshotCodec.read(base, bytes).isLeft());
    }

    @Property(seed = "54", tries = 500)
    void corruptedSnapshotIsRejectedOrUnchanged(@ForAll int place, @ForAll byte change) {
        InMemoryLog log = new InMemoryLog();
        log.edit(0, 1);
        log.edit(1, 2);
        byte[] bytes = TableSnapshotCodec.write(log.table());
        bytes[Math.floorMod(place, bytes.length)] ^= change;
        TableSnapshotCodec.read(FoldedTable.empty(), bytes).forEach(table -> assertEquals(table, log.table()));
    }
}
