package org.cornelramp.core.settings;

/**
 * One fault of a settings file. Immutable, safe for use by any thread.
 *
 * @param path JSON pointer of the faulty value; empty for the whole file
 * @param value the value as read, or what stands for it when it is absent or secret
 * @param remedy what to do, as one sentence
 */
public record SettingsFault(String path, String value, String remedy) {

    @Override
    public String toString() {
        return (path.isEmpty() ? "/" : path) + " " + value + ": " + remedy;
    }
}
