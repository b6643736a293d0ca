package org.cornelramp.bench.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.cornelramp.bench.measure.Line;
import org.cornelramp.bench.measure.Plot;
import org.cornelramp.bench.measure.Results;

/** The resource usage of one process at several values of one parameter. Confined to one thread. */
final class CostSeries {
    private final String name;
    private final List<Double> sizes = new ArrayList<>();
    private final List<Cost> costs = new ArrayList<>();

    /** @param name the process, its state and the parameter, such as {@code entry_idle_per_link} */
    CostSeries(String name) {
        this.name = name;
    }

    void add(double size, Cost cost) {
        sizes.add(size);
        costs.add(cost);
        System.out.printf(
                Locale.ROOT,
                "%s at %.0f: cpu=%.2f%% resident=%.1fMB messages=%.1f/s bytes=%.0f/s%n",
                name,
                size,
                cost.cpuPercent(),
                cost.residentBytes() / (1 << 20),
                cost.messagesPerSecond(),
                cost.bytesPerSecond());
    }

    /** Adds the points and slopes to the results and the plot. */
    void report(Results results, Plot plot) {
        List<Map<String, Object>> points = new ArrayList<>();
        for (int i = 0; i < costs.size(); i++) {
            points.add(Map.of("size", sizes.get(i), "cost", asMap(costs.get(i))));
        }
        results.put(name, points);
        slope(results, "cpu_percent", Cost::cpuPercent);
        slope(results, "resident_bytes", Cost::residentBytes);
        slope(results, "messages_per_second", Cost::messagesPerSecond);
        slope(results, "bytes_per_second", Cost::bytesPerSecond);
        plot.line(name, x(), y(Cost::cpuPercent));
    }

    private void slope(Results results, String what, ToDoubleFunction<Cost> value) {
        Line line = Line.fit(x(), y(value));
        results.put(name + "." + what + ".at_zero", line.intercept());
        results.figure(name + "." + what, line.slope());
    }

    private double[] x() {
        return sizes.stream().mapToDouble(Double::doubleValue).toArray();
    }

    private double[] y(ToDoubleFunction<Cost> value) {
        return costs.stream().mapToDouble(value).toArray();
    }

    private static Map<String, Object> asMap(Cost cost) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("cpuPercent", cost.cpuPercent());
        map.put("residentBytes", cost.residentBytes());
        map.put("messagesPerSecond", cost.messagesPerSecond());
        map.put("bytesPerSecond", cost.bytesPerSecond());
        return map;
    }
}
