package org.cornelramp.core.table;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;

/**
 * Reads and writes the table as CSV, one line for each row, for spreadsheets.
 *
 * <p>No value of the table can contain a comma, a quote or a line break, so lines are split at commas; a field may be
 * enclosed in quotes, which some spreadsheets add. Reading returns all rows or every fault. Stateless, safe for use by
 * any thread.
 */
public final class TableCsv {
    /** Names of the columns, in the order in which they are written. */
    public static final List<String> COLUMNS = List.of(
            "organisation",
            "service",
            "version",
            "weight",
            "priority",
            "requestsPerSecond",
            "concurrency",
            "tokensPerSecond",
            "deadlineMillis",
            "objectivePercent",
            "callerKeyHashes");

    /** Maximum number of reported faults; a file of another kind has one in each line. */
    public static final int MAX_FAULTS = 50;

    private static final String BYTE_ORDER_MARK = "\uFEFF";
    private static final String SEPARATOR = ",";
    private static final String KEY_SEPARATOR = " ";

    private TableCsv() {}

    /**
     * One line of a file. Immutable, safe for use by any thread.
     *
     * @param line line of the file, from 1
     * @param row the row; its version is the base version of an edit
     */
    public record CsvRow(int line, Row row) {}

    /** Writes rows after a header line with the names of the columns. */
    public static String write(Collection<Row> rows) {
        StringBuilder text = new StringBuilder(String.join(SEPARATOR, COLUMNS)).append('\n');
        for (Row row : rows) {
            text.append(String.join(SEPARATOR, fields(row))).append('\n');
        }
        return text.toString();
    }

    /** The fields of a row, in the order of {@link #COLUMNS}. */
    public static List<String> fields(Row row) {
        RowValues values = row.values();
        return List.of(
                row.key().organisation().value(),
                row.key().service().value(),
                Long.toString(row.version()),
                Integer.toString(values.weight()),
                Integer.toString(values.priority()),
                formatNumber(values.requestsPerSecond()),
                Integer.toString(values.concurrency()),
                formatNumber(values.tokensPerSecond()),
                Long.toString(values.deadlineMillis()),
                formatNumber(values.objectivePercent()),
                String.join(KEY_SEPARATOR, values.callerKeyHashes()));
    }

    /** Reads all rows, or returns the faults, at most {@link #MAX_FAULTS}. */
    public static Either<List<CsvFault>, List<CsvRow>> read(String text) {
        String withoutBom = text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text;
        List<String> lines = withoutBom.lines().toList();
        List<CsvFault> faults = new ArrayList<>();
        List<String> names = lines.isEmpty() ? List.of() : splitFields(lines.get(0));
        checkColumns(names, faults);
        if (!faults.isEmpty()) {
            return Either.left(faults);
        }
        List<CsvRow> rows = new ArrayList<>();
        Map<RowKey, Integer> seen = new HashMap<>();
        for (int i = 1; i < lines.size() && faults.size() < MAX_FAULTS; i++) {
            if (!lines.get(i).isBlank()) {
                readLine(names, i + 1, lines.get(i), faults).ifPresent(row -> addRow(row, rows, seen, faults));
            }
        }
        return faults.isEmpty() ? Either.right(rows) : Either.left(faults);
    }

    private static void addRow(CsvRow row, List<CsvRow> rows, Map<RowKey, Integer> seen, List<CsvFault> faults) {
        Integer first = seen.putIfAbsent(row.row().key(), row.line());
        if (first != null) {
            faults.add(new CsvFault(row.line(), "", "Give each row once; line " + first + " has the same row."));
        }
        rows.add(row);
    }

    private static void checkColumns(List<String> names, List<CsvFault> faults) {
        for (String column : COLUMNS) {
            long count = names.stream().filter(column::equals).count();
            if (count != 1) {
                faults.add(new CsvFault(
                        1, column, count == 0 ? "Add the column; commas separate columns." : "Give the column once."));
            }
        }
        for (String name : names) {
            if (!COLUMNS.contains(name) && faults.size() < MAX_FAULTS) {
                faults.add(new CsvFault(
                        1,
                        abbreviate(name),
                        "Remove or rename it; the columns are " + String.join(", ", COLUMNS) + "."));
            }
        }
    }

    private static Optional<CsvRow> readLine(List<String> names, int line, String text, List<CsvFault> faults) {
        List<String> fields = splitFields(text);
        if (fields.size() != names.size()) {
            faults.add(new CsvFault(
                    line, "", "Give " + names.size() + " fields as in line 1; this line has " + fields.size() + "."));
            return Optional.empty();
        }
        Line values = new Line(line, new HashMap<>(), faults);
        for (int i = 0; i < names.size(); i++) {
            values.fields().put(names.get(i), fields.get(i));
        }
        int before = faults.size();
        Row row = readRow(values);
        return faults.size() == before ? Optional.of(new CsvRow(line, row)) : Optional.empty();
    }

    private static Row readRow(Line line) {
        OrganisationId organisation = line.read("organisation", OrganisationId::new, null, "Give a name.");
        ServiceName service = line.read("service", ServiceName::new, null, "Give a name.");
        long version = line.read(
                "version",
                TableCsv::parseVersion,
                -1L,
                "Give the row's version as exported; leave it empty for a new row.");
        RowValues values = new RowValues(
                line.readWholeNumber("weight", 1).intValue(),
                line.readWholeNumber("priority", 0).intValue(),
                line.readDouble("requestsPerSecond", 0),
                line.readWholeNumber("concurrency", 0).intValue(),
                line.readDouble("tokensPerSecond", 0),
                line.readWholeNumber("deadlineMillis", 1),
                line.readDouble("objectivePercent", 1),
                parseKeys(line.fields().get("callerKeyHashes")));
        RowChecks.validate(values).forEach(fault -> line.addFault(fault.column(), fault.remedy()));
        return new Row(new RowKey(organisation, service), version, values);
    }

    private static long parseVersion(String text) {
        long version = text.isEmpty() ? FoldedTable.NO_VERSION : Long.parseLong(text);
        if (version < FoldedTable.NO_VERSION) {
            throw new IllegalArgumentException("not a version");
        }
        return version;
    }

    private static List<String> parseKeys(String text) {
        return text.isBlank() ? List.of() : List.of(text.trim().split(" +"));
    }

    private static List<String> splitFields(String line) {
        List<String> fields = new ArrayList<>();
        for (String field : line.split(SEPARATOR, -1)) {
            String trimmed = field.trim();
            boolean quoted = trimmed.length() > 1 && trimmed.startsWith("\"") && trimmed.endsWith("\"");
            fields.add(quoted ? trimmed.substring(1, trimmed.length() - 1) : trimmed);
        }
        return fields;
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value) && Math.abs(value) <= RowChecks.MAX_RATE
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    private static String abbreviate(String name) {
        return name.length() <= 40 ? name : name.substring(0, 40) + "…";
    }

    /** The fields of one line, by the names of their columns. Confined to one thread. */
    private record Line(int number, Map<String, String> fields, List<CsvFault> faults) {

        /** Returns {@code fallback} after a fault, so that the remaining columns are read too. */
        <T> T read(String column, Function<String, T> parse, T fallback, String remedy) {
            try {
                return parse.apply(fields.get(column));
            } catch (IllegalArgumentException e) {
                addFault(column, remedy);
                return fallback;
            }
        }

        Long readWholeNumber(String column, long fallback) {
            return read(column, text -> (long) Integer.parseInt(text), fallback, "Give a whole number.");
        }

        double readDouble(String column, double fallback) {
            return read(column, Double::parseDouble, fallback, "Give a number with a point, not a comma.");
        }

        void addFault(String column, String remedy) {
            faults.add(new CsvFault(number, column, remedy));
        }
    }
}
