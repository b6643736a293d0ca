package org.cornelramp.core.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.NameValidator;

/**
 * Reads a gateway's settings from JSON: returns the settings, or every fault at once. Stateless, safe for use by any
 * thread.
 */
public final class GatewaySettingsReader {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    private static final String ADDRESS_REMEDY = "Give host:port, the port from 0 to 65535.";
    private static final String NAME_REMEDY =
            "Give 1 to " + NameValidator.MAX_LENGTH + " letters, digits, dots or dashes.";
    private static final double MAX_CORES = 1_024;
    private static final long HOUR_MILLIS = 3_600_000L;

    /** Beginnings of prompts tracked by default; a beginning that is left out only loses its saving. */
    private static final int DEFAULT_TRACKED_PARTS = 4_096;

    private static final int MAX_TRACKED_PARTS = 65_536;

    /** With less than a quarter of a core, one slow second makes the streams of a gateway late. */
    private static final double DEFAULT_SMALL_CORES = 0.25;

    /** In less time, a read would have to be answered in the time of a usual round trip between data centres. */
    private static final long MIN_APPLY_MILLIS = 500;

    /** Reads settings from the text of a file. */
    public Either<List<SettingsFault>, GatewaySettings> read(String text) {
        JsonNode root;
        try {
            root = JSON.readTree(text);
        } catch (JsonProcessingException e) {
            String position =
                    e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr();
            return Either.left(
                    List.of(new SettingsFault("", position, "Correct the JSON there; names must not be repeated.")));
        }
        List<SettingsFault> faults = new ArrayList<>();
        Optional<GatewaySettings> settings = readRoot(new SettingsSection(root, "", faults));
        return faults.isEmpty() && settings.isPresent() ? Either.right(settings.get()) : Either.left(faults);
    }

    private static Optional<GatewaySettings> readRoot(SettingsSection root) {
        Optional<String> name = root.required("name", GatewaySettingsReader::parseName, NAME_REMEDY);
        Optional<DataCentre> dataCentre =
                root.required("dataCentre", value -> new DataCentre(parseName(value)), NAME_REMEDY);
        Optional<HostPort> requests = readAddress(root, "requests");
        Optional<HostPort> readiness = readAddress(root, "readiness");
        Optional<HostPort> metrics = readAddress(root, "metrics");
        Optional<HostPort> peers = readAddress(root, "peers");
        Optional<HostPort> store = readAddress(root, "store");
        GatewaySettings.Timing timing = readTiming(root.section("timing"));
        GatewaySettings.Retries retries = readRetries(root.section("retries"));
        Optional<GatewaySettings.Limits> limits =
                root.has("limits") ? readLimits(root.section("limits")) : Optional.empty();
        GatewaySettings.PromptPrefixes promptPrefix = root.has("promptPrefix")
                ? readPromptPrefix(root.section("promptPrefix"))
                : GatewaySettings.PromptPrefixes.OFF;
        root.rejectUnknownNames();
        if (name.isEmpty()
                || dataCentre.isEmpty()
                || requests.isEmpty()
                || readiness.isEmpty()
                || metrics.isEmpty()
                || peers.isEmpty()
                || store.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new GatewaySettings(
                name.get(),
                dataCentre.get(),
                requests.get(),
                readiness.get(),
                metrics.get(),
                peers.get(),
                store.get(),
                timing,
                retries,
                limits,
                promptPrefix));
    }

    private static GatewaySettings.Timing readTiming(SettingsSection section) {
        GatewaySettings.Timing timing = new GatewaySettings.Timing(
                section.number("heartbeatMillis", 10, HOUR_MILLIS, 1_200),
                section.number("applyMillis", MIN_APPLY_MILLIS, HOUR_MILLIS, 2_000),
                section.number("drainMillis", 0, HOUR_MILLIS, 2_000),
                secondsAsMillis(section, "graceSeconds", 8),
                section.number("stallMillis", 10, HOUR_MILLIS, 2_000));
        section.rejectUnknownNames();
        return timing;
    }

    private static GatewaySettings.Retries readRetries(SettingsSection section) {
        GatewaySettings.Retries retries = new GatewaySettings.Retries(
                section.decimal("ratio", 0, 100, 0.2),
                section.decimal("reserve", 0, 1e6, 20),
                secondsAsMillis(section, "windowSeconds", 10));
        section.rejectUnknownNames();
        return retries;
    }

    private static GatewaySettings.PromptPrefixes readPromptPrefix(SettingsSection section) {
        GatewaySettings.PromptPrefixes promptPrefix =
                new GatewaySettings.PromptPrefixes(section.bool("enabled", false), (int)
                        section.number("maxTrackedParts", 16, MAX_TRACKED_PARTS, DEFAULT_TRACKED_PARTS));
        section.rejectUnknownNames();
        return promptPrefix;
    }

    private static Optional<GatewaySettings.Limits> readLimits(SettingsSection section) {
        Optional<Double> cpuShare = section.required(
                "cpuShare", value -> parsePositive(value, 1), "Give a number above 0 to 1, or leave out limits.");
        Optional<Double> cores = section.required(
                "cores", GatewaySettingsReader::parseCores, "Give a number from 1 to 1024, or leave out limits.");
        Optional<Optional<Double>> linkMbps = section.optional(
                "linkMbps",
                value -> value.isNull() ? Optional.empty() : Optional.of(parsePositive(value, Double.MAX_VALUE)),
                "Give a number above 0, or leave out linkMbps if the link is not limited.");
        double smallCores = section.decimal("smallCores", 0, MAX_CORES, DEFAULT_SMALL_CORES);
        section.rejectUnknownNames();
        return cpuShare.flatMap(share -> cores.map(
                count -> new GatewaySettings.Limits(share, count, linkMbps.flatMap(Function.identity()), smallCores)));
    }

    private static double parseCores(JsonNode value) {
        double cores = parsePositive(value, MAX_CORES);
        if (cores < 1) {
            throw new IllegalArgumentException("less than a core");
        }
        return cores;
    }

    private static double parsePositive(JsonNode value, double max) {
        double number = value.asDouble();
        if (!value.isNumber() || !(number > 0 && number <= max)) {
            throw new IllegalArgumentException("out of range");
        }
        return number;
    }

    private static long secondsAsMillis(SettingsSection section, String name, double defaultSeconds) {
        return Math.round(section.decimal(name, 0.01, 3_600, defaultSeconds) * 1_000);
    }

    private static Optional<HostPort> readAddress(SettingsSection section, String name) {
        return section.required(name, value -> HostPort.parse(parseText(value)), ADDRESS_REMEDY);
    }

    private static String parseName(JsonNode value) {
        NameValidator.check("settings", parseText(value));
        return value.textValue();
    }

    private static String parseText(JsonNode value) {
        if (!value.isTextual()) {
            throw new IllegalArgumentException("not a string");
        }
        return value.textValue();
    }
}
