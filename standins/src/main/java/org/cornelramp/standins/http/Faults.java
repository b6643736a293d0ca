package org.cornelramp.standins.http;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Fault switches of one stand-in: text values by name, unset by default. Safe for use by any thread.
 *
 * <p>Switches of all kinds: {@code stall} (true: suspend all calls before their effect), {@code stall-millis} (delay
 * each call), {@code lose-answers} (number of next calls whose connection is closed after the effect),
 * {@code refuse} and {@code outage} (true: 503 before any effect), {@code slow-factor}, {@code crash-on} (text: halt
 * when a call contains it), {@code go-silent} (true: connections that are open now never answer again).
 */
public final class Faults {
    private final Map<String, String> values = new ConcurrentHashMap<>();

    /** Sets switches; a null or empty value unsets one. */
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

    /** Value of a switch; empty if unset. */
    public String text(String name) {
        return values.getOrDefault(name, "");
    }

    /** Whether a switch is on. */
    public boolean isOn(String name) {
        return Boolean.parseBoolean(values.get(name));
    }

    /** Value of a switch as a number; the default if unset. */
    public double number(String name, double defaultValue) {
        String text = values.get(name);
        return text == null ? defaultValue : Double.parseDouble(text);
    }

    /** Decrements the counter of a switch and unsets it at zero; true if it was above zero. */
    public boolean decrementIfPositive(String name) {
        if (!values.containsKey(name)) {
            return false;
        }
        boolean[] wasPositive = new boolean[1];
        values.computeIfPresent(name, (key, text) -> {
            long remaining = Long.parseLong(text);
            wasPositive[0] = remaining > 0;
            return remaining > 1 ? Long.toString(remaining - 1) : null;
        });
        return wasPositive[0];
    }
}
