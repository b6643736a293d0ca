package org.cornelramp.core.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Reads one object of a settings file and collects every fault instead of stopping at the first.
 *
 * <p>After a fault a getter returns a default or an empty value, so that reading can continue; the result must be
 * discarded if there are faults. Confined to one thread.
 */
final class SettingsSection {
    private static final String ABSENT = "(absent)";
    private static final String NOT_READ = "(not read)";
    private static final String HIDDEN = "(hidden)";
    private static final int MAX_SHOWN_CHARS = 80;

    private final JsonNode node;
    private final String path;
    private final List<SettingsFault> faults;
    private final Set<String> requestedNames = new HashSet<>();

    SettingsSection(JsonNode node, String path, List<SettingsFault> faults) {
        this.node = node;
        this.path = path;
        this.faults = faults;
        if (!node.isObject() && !node.isMissingNode()) {
            addFault("", node, "Give an object.");
        }
    }

    /** The object under a name; an absent one is read as empty. */
    SettingsSection section(String name) {
        requestedNames.add(name);
        return new SettingsSection(node.path(name), path + "/" + name, faults);
    }

    /** Whether the name is present. */
    boolean has(String name) {
        requestedNames.add(name);
        return node.has(name);
    }

    /** A value that {@code parse} accepts; {@code parse} throws {@link IllegalArgumentException} on others. */
    <T> Optional<T> required(String name, Function<JsonNode, T> parse, String remedy) {
        requestedNames.add(name);
        JsonNode value = node.path(name);
        try {
            if (!value.isMissingNode()) {
                return Optional.of(parse.apply(value));
            }
        } catch (IllegalArgumentException e) {
            addFault("/" + name, value, remedy);
            return Optional.empty();
        }
        addFault("/" + name, value, remedy);
        return Optional.empty();
    }

    /** Like {@link #required}, but the value may be absent. */
    <T> Optional<T> optional(String name, Function<JsonNode, T> parse, String remedy) {
        return has(name) ? required(name, parse, remedy) : Optional.empty();
    }

    /** A whole number within a range. */
    long number(String name, long min, long max, long defaultValue) {
        return optional(
                        name,
                        value -> parseLong(value, min, max),
                        "Give a whole number from " + min + " to " + max + ".")
                .orElse(defaultValue);
    }

    /** A number within a range. */
    double decimal(String name, double min, double max, double defaultValue) {
        String remedy = "Give a number from " + min + " to " + max + ".";
        return optional(name, value -> parseDecimal(value, min, max), remedy).orElse(defaultValue);
    }

    boolean bool(String name, boolean defaultValue) {
        return optional(name, SettingsSection::parseBoolean, "Give true or false.")
                .orElse(defaultValue);
    }

    /** Adds a fault if a name that must be absent is present. */
    void forbid(String name, String remedy) {
        if (has(name)) {
            addFault("/" + name, node.path(name), remedy);
        }
    }

    /** Adds a fault for each name that has not been read or checked so far. */
    void rejectUnknownNames() {
        node.fieldNames().forEachRemaining(name -> {
            if (!requestedNames.contains(name)) {
                String names =
                        String.join(", ", requestedNames.stream().sorted().toList());
                faults.add(new SettingsFault(
                        path + "/" + name,
                        NOT_READ,
                        "There is no setting with this name; the known names here are " + names + "."));
            }
        });
    }

    /** Adds a fault. Secret values are never included, since faults are printed and logged. */
    void addFault(String subpath, JsonNode value, String remedy) {
        String pointer = path + subpath;
        faults.add(new SettingsFault(pointer, pointer.startsWith("/operators") ? HIDDEN : display(value), remedy));
    }

    private static String display(JsonNode value) {
        if (value.isMissingNode()) {
            return ABSENT;
        }
        String text = value.toString();
        if (text.contains("@")) {
            return HIDDEN; // a URL may contain a password before an @
        }
        return text.length() > MAX_SHOWN_CHARS ? text.substring(0, MAX_SHOWN_CHARS) + "…" : text;
    }

    private static long parseLong(JsonNode value, long min, long max) {
        if (!value.canConvertToExactIntegral() || !value.canConvertToLong()) {
            throw new IllegalArgumentException("not a whole number");
        }
        long number = value.asLong();
        if (number < min || number > max) {
            throw new IllegalArgumentException("out of range");
        }
        return number;
    }

    private static double parseDecimal(JsonNode value, double min, double max) {
        double number = value.asDouble();
        if (!value.isNumber() || number < min || number > max) {
            throw new IllegalArgumentException("out of range");
        }
        return number;
    }

    private static boolean parseBoolean(JsonNode value) {
        if (!value.isBoolean()) {
            throw new IllegalArgumentException("not a boolean");
        }
        return value.booleanValue();
    }
}
