package org.cornelramp.bench.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The results of one benchmark: a JSON file, and figures that are printed at the end. Confined to one thread. */
public final class Results {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    private final Path folder;
    private final String name;
    private final Map<String, Object> values = new LinkedHashMap<>();
    private final List<String> figures = new ArrayList<>();

    /**
     * @param folder folder of the result files
     * @param name name of the benchmark
     */
    public Results(Path folder, String name) {
        this.folder = folder;
        this.name = name;
    }

    /** Adds a value to the JSON file. */
    public void put(String key, Object value) {
        values.put(key, value);
    }

    /** Adds a figure to the JSON file and to the last lines of the output. */
    public void figure(String key, double value) {
        values.put(key, value);
        figures.add(String.format(Locale.ROOT, "%s=%.4g", key, value));
    }

    /** A result file of this benchmark with the given extension, dot included. */
    public Path file(String ending) {
        try {
            Files.createDirectories(folder);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return folder.resolve(name + ending);
    }

    /** Writes the file and prints the figures. */
    public void finish() {
        try {
            MAPPER.writeValue(file(".json").toFile(), values);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        figures.forEach(System.out::println);
    }
}
