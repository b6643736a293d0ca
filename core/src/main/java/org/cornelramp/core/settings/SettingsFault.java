package org.cornelramp.core.settings;

/**
 * One fault in a settings file. Immutable, safe for use by any thread.
 *
 * @param path JSON pointer of the faulty value; empty for the whole file
 * @param value the value as read, or a placeholder if it is absent or secret
 * @param remedy how to correct the file, as one sentence
 */
public record SettingsFault(String path, String value, String remedy) {

    @Override
    public String toString() {
        return (path.isEmpty() ? "/" : path) + " " + value + ": " + remedy;
    }
}
