package org.cornelramp.core.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/**
 * Guards against a partial import of an invalid file, such as one with a renamed column, a number with a decimal comma
 * or a weight out of range: no row is returned, and every fault is reported with its line and column.
 */
public class FaultyCsvTest {
    private static final String HEADER = String.join(",", TableCsv.COLUMNS) + "\n";
    private static final String GOOD = "o1,s,4,1,0,0,0,0,1000,99.5,\n";

    private static List<String> faults(String text) {
        return TableCsv.read(text).getLeft().stream().map(CsvFault::toString).toList();
    }

    @Test
    public void readsAGoodFile() {
        assertEquals(TableCsv.read(HEADER + GOOD + "\n").get().get(0).row().version(), 4);
    }

    @Test
    public void reportsWrongColumn() {
        List<String> faults = faults(HEADER.replace("weight", "wieght") + GOOD);
        assertEquals(faults.get(0), "line 1 column weight: Add the column; commas separate columns.");
        assertTrue(faults.get(1).startsWith("line 1 column wieght: Remove or rename it"));
    }

    @Test
    public void reportsEveryBadValueWithItsPosition() {
        List<String> faults = faults(HEADER + GOOD + "o 2,s,x,0,ten,0,0,0,1000,100,abc\n" + "o3,s,1\n" + GOOD);
        assertEquals(
                faults.stream()
                        .map(fault -> fault.substring(0, fault.indexOf(':')))
                        .toList(),
                List.of(
                        "line 3 column organisation",
                        "line 3 column version",
                        "line 3 column priority",
                        "line 3 column weight",
                        "line 3 column objectivePercent",
                        "line 3 column callerKeyHashes",
                        "line 4",
                        "line 5"));
    }

    @Test
    public void reportsEmptyFile() {
        assertEquals(faults("").size(), TableCsv.COLUMNS.size());
    }
}
