package org.cornelramp.bench.measure;

import java.util.List;

/** The meters that a daemon serves at {@code /metrics}. Immutable, safe for use by any thread. */
public final class Meters {
    private final List<String> lines;

    /** @param page the body of the response, in the Prometheus text format */
    public Meters(String page) {
        this.lines = page.lines().filter(line -> !line.startsWith("#")).toList();
    }

    /** Sum of a meter over all its labels; 0 if there is none. */
    public double sum(String name) {
        return sum(name, "");
    }

    /** Sum of a meter over the series whose line contains the text {@code label}. */
    public double sum(String name, String label) {
        return lines.stream()
                .filter(line -> line.startsWith(name + "{") || line.startsWith(name + " "))
                .filter(line -> line.contains(label))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }
}
