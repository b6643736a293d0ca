package org.cornelramp.core.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Reads one object of a settings file and notes every fault instead of stopping at the first.
 *
 * <p>Each getter gives a stand-in value after a fault, so that reading can go on; the result of a reading with
 * faults must be thrown away. Confined to one thread.
 */
final class Section {
    private static final String ABSENT = "(absent)";
    private static final String UNREAD = "(not read)";
    private static final String SECRET = "(hidden)";
    private static final int SHOWN = 80;

    private final JsonNode node;
    private final String path;
    private final List<SettingsFault> faults;
    private final Set<String> known = new HashSet<>();

    Section(JsonNode node, String path, List<SettingsFault> faults) {
        this.node = node;
        this.path = path;
        this.faults = faults;
        if (!node.isObject() && !node.isMissingNode()) {
            fault("", node, "Give an object.");
        }
    }

    /** The object under a name; an absent one reads as empty. */
    Section section(String name) {
        known.add(name);
        return new Section(node.path(name), path + "/" + name, faults);
    }

    /** Whether the name is there. */
    boolean has(String name) {
        known.add(name);
        return node.has(name);
    }

    /** A value that {@code parse} accepts; it throws {@link IllegalArgumentException} on others. */
    <T> Optional<T> required(String name, Function<JsonNode, T> parse, String remedy) {
        known.add(name);
        JsonNode value = node.path(name);
        try {
            if (!value.isMissingNode()) {
                return Optional.of(parse.apply(value));
            }
        } catch (IllegalArgumentException e) {
            fault("/" + name, value, remedy);
            return Optional.empty();
        }
        fault("/" + name, value, remedy);
        return Optional.empty();
    }

    /** Like {@link #required}, but may be absent. */
    <T> Optional<T> optional(String name, Function<JsonNode, T> parse, String remedy) {
        return has(name) ? required(name, parse, remedy) : Optional.empty();
    }

    /** A whole number within bounds. */
    long number(String name, long min, long max, long byDefault) {
        return optional(name, value -> inRange(value, min, max), "Give a whole number from " + min + " to " + max + ".")
                .orElse(byDefault);
    }

    /** A number within bounds. */
    double decimal(String name, double min, double max, double byDefault) {
        String remedy = "Give a number from " + min + " to " + max + ".";
        return optional(name, value -> decimalInRange(value, min, max), remedy).orElse(byDefault);
    }

    /** True or false. */
    boolean flag(String name, boolean byDefault) {
        return optional(name, Section::parseFlag, "Give true or false.").orElse(byDefault);
    }

    /** Notes a fault of a name that must not be there. */
    void forbid(String name, String remedy) {
        if (has(name)) {
            fault("/" + name, node.path(name), remedy);
        }
    }

    /** Notes a fault for each name that nothing has asked for. */
    void refuseOthers() {
        node.fieldNames().forEachRemaining(name -> {
            if (!known.contains(name)) {
                String names = String.join(", ", known.stream().sorted().toList());
                faults.add(new SettingsFault(
                        path + "/" + name, UNREAD, "No setting has this name; the names here are " + names + "."));
            }
        });
    }

    /** Notes a fault. Secret values are never shown, since faults are printed and logged. */
    void fault(String below, JsonNode value, String remedy) {
        String at = path + below;
        faults.add(new SettingsFault(at, at.startsWith("/operators") ? SECRET : show(value), remedy));
    }

    private static String show(JsonNode value) {
        if (value.isMissingNode()) {
            return ABSENT;
        }
        String text = value.toString();
        if (text.contains("@")) {
            return SECRET; // a URL may carry a password before an @
        }
        return text.length() > SHOWN ? text.substring(0, SHOWN) + "…" : text;
    }

    private static long inRange(JsonNode value, long min, long max) {
        if (!value.canConvertToExactIntegral() || !value.canConvertToLong()) {
            throw new IllegalArgumentException("not a whole number");
        }
        long number = value.asLong();
        if (number < min || number > max) {
            throw new IllegalArgumentException("out of range");
        }
        return number;
    }

    private static double decimalInRange(JsonNode value, double min, double max) {
        double number = value.asDouble();
        if (!value.isNumber() || number < min || number > max) {
            throw new IllegalArgumentException("out of range");
        }
        return number;
    }

    private static boolean parseFlag(JsonNode value) {
        if (!value.isBoolean()) {
            throw new IllegalArgumentException("not a boolean");
        }
        return value.booleanValue();
    }
}
