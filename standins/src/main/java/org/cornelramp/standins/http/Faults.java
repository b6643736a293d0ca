package org.cornelramp.standins.http;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Fault switches of one stand-in: names with text values, unset by default. Safe for use by any thread.
 *
 * <p>Switches of all kinds: {@code stall} (true: hold all calls before their effect), {@code stall-millis} (delay
 * each call), {@code lose-answers} (number of next calls whose connection is closed after the effect),
 * {@code refuse} and {@code outage} (true: 503 before any effect), {@code slow-factor}, {@code crash-on} (text: halt
 * when a call holds it), {@code go-silent} (true: connections that are open now never answer again).
 */
public final class Faults {
    private final Map<String, String> values = new ConcurrentHashMap<>();

    /** Sets switches; an empty value unsets one. */
    public void set(Map<String, String> changes) {
        changes.forEach((name, value) -> {
            if (value == null || value.isEmpty()) {
                values.remove(name);
            } else {
                values.put(name, value);
            }
        });
    }

    /** All switches that are set. */
    public Map<String, String> all() {
        return new TreeMap<>(values);
    }

    /** The text of a switch; empty when unset. */
    public String text(String name) {
        return values.getOrDefault(name, "");
    }

    /** Whether a switch is on. */
    public boolean isOn(String name) {
        return Boolean.parseBoolean(values.get(name));
    }

    /** The number of a switch. */
    public double number(String name, double otherwise) {
        String text = values.get(name);
        return text == null ? otherwise : Double.parseDouble(text);
    }

    /** Counts a switch down by one; true if it was above zero. */
    public boolean take(String name) {
        if (!values.containsKey(name)) {
            return false;
        }
        boolean[] taken = new boolean[1];
        values.computeIfPresent(name, (key, text) -> {
            long left = Long.parseLong(text);
            taken[0] = left > 0;
            return left > 1 ? Long.toString(left - 1) : null;
        });
        return taken[0];
    }
}
