package org.cornelramp.cli.text;

import java.util.ArrayList;
import java.util.List;

/** Formats rows of text as a table with aligned columns. Confined to one thread. */
public final class TextTable {
    private static final String COLUMN_GAP = "  ";

    private final List<List<String>> lines = new ArrayList<>();

    public TextTable(String... headers) {
        lines.add(List.of(headers));
    }

    /** Adds a row with as many fields as there are column headers. */
    public TextTable add(List<String> fields) {
        lines.add(List.copyOf(fields));
        return this;
    }

    @Override
    public String toString() {
        int columns = lines.get(0).size();
        int[] widths = new int[columns];
        for (List<String> line : lines) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], line.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> line : lines) {
            StringBuilder row = new StringBuilder();
            for (int i = 0; i < columns; i++) {
                row.append(line.get(i))
                        .append(" ".repeat(widths[i] - line.get(i).length()))
                        .append(COLUMN_GAP);
            }
            text.append(row.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }
}
