package org.cornelramp.core.table;

/**
 * One column value that the table does not take. Immutable, safe for use by any thread.
 *
 * @param column name of the column
 * @param remedy what to give instead, as one sentence
 */
public record ColumnFault(String column, String remedy) {

    @Override
    public String toString() {
        return column + ": " + remedy;
    }
}
