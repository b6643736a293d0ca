package org.cornelramp.core.table;

/**
 * One fault in a CSV file. Immutable, safe for use by any thread.
 *
 * @param line line of the file, from 1
 * @param column name of the column; empty for the whole line
 * @param remedy how to correct the file, as one sentence
 */
public record CsvFault(int line, String column, String remedy) {

    @Override
    public String toString() {
        return "line " + line + (column.isEmpty() ? "" : " column " + column) + ": " + remedy;
    }
}
