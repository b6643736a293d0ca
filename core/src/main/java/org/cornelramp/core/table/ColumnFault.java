package org.cornelramp.core.table;

/**
 * An invalid value of a column. Immutable, safe for use by any thread.
 *
 * @param column name of the column
 * @param remedy how to correct the value, as one sentence
 */
public record ColumnFault(String column, String remedy) {

    @Override
    public String toString() {
        return column + ": " + remedy;
    }
}
