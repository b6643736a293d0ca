package org.cornelramp.bench.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cornelramp.bench.fleet.FleetException;

/**
 * The resource usage of a process as the kernel counts it. Immutable, safe for use by any thread.
 *
 * @param threadNanos processor time of each live thread, in nanoseconds
 * @param residentBytes resident memory, in bytes
 */
public record ProcessUsage(Map<String, Long> threadNanos, long residentBytes) {
    private static final long BYTES_PER_KILOBYTE = 1_024;

    public ProcessUsage {
        threadNanos = Map.copyOf(threadNanos);
    }

    /**
     * Processor time since an earlier reading, in nanoseconds. Computed per thread: the time of a thread that has
     * ended in between would otherwise be subtracted from that of the others.
     */
    public long cpuNanosSince(ProcessUsage earlier) {
        return threadNanos.entrySet().stream()
                .mapToLong(thread -> thread.getValue() - earlier.threadNanos.getOrDefault(thread.getKey(), 0L))
                .sum();
    }

    /** Reads the usage of a process that runs. */
    public static ProcessUsage of(long pid) {
        Path process = Path.of("/proc", Long.toString(pid));
        try {
            return new ProcessUsage(threads(process.resolve("task")), resident(process.resolve("status")));
        } catch (IOException e) {
            throw new FleetException("Process " + pid + " has ended", e);
        }
    }

    /** Reads {@code schedstat} of each thread, as the jiffies of {@code stat} are too coarse for an idle process. */
    private static Map<String, Long> threads(Path tasks) throws IOException {
        try (Stream<Path> threads = Files.list(tasks)) {
            return threads.collect(
                    Collectors.toMap(thread -> thread.getFileName().toString(), ProcessUsage::nanosOf));
        }
    }

    private static long nanosOf(Path thread) {
        try {
            String text = Files.readString(thread.resolve("schedstat"));
            return Long.parseLong(text.substring(0, text.indexOf(' ')));
        } catch (IOException e) {
            return 0;
        }
    }

    private static long resident(Path status) throws IOException {
        return Files.readAllLines(status).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) * BYTES_PER_KILOBYTE)
                .findFirst()
                .orElse(0);
    }
}
