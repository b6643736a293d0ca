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
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.NameValidator;

/**
 * Reads a gateway's settings from JSON: gives the settings, or every fault at once. Stateless, safe for use by any
 * thread.
 */
public final class GatewaySettingsReader {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    private static final String ADDRESS = "Give host:port, the port from 0 to 65535.";
    private static final String NAME = "Give 1 to " + NameValidator.MAX_LENGTH + " letters, digits, dots or dashes.";
    private static final long HOUR = 3_600_000L;

    /** Reads settings from the text of a file. */
    public Either<List<SettingsFault>, GatewaySettings> read(String text) {
        JsonNode root;
        try {
            root = JSON.readTree(text);
        } catch (JsonProcessingException e) {
            String place =
                    e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr();
            return Either.left(List.of(new SettingsFault("", place, "Correct the JSON there; names may not repeat.")));
        }
        List<SettingsFault> faults = new ArrayList<>();
        Optional<GatewaySettings> settings = readRoot(new Section(root, "", faults));
        return faults.isEmpty() && settings.isPresent() ? Either.right(settings.get()) : Either.left(faults);
    }

    private static Optional<GatewaySettings> readRoot(Section root) {
        Optional<String> name = root.required("name", GatewaySettingsReader::name, NAME);
        Optional<DataCentre> dataCentre = root.required("dataCentre", value -> new DataCentre(name(value)), NAME);
        Optional<HostPort> requests = address(root, "requests");
        Optional<HostPort> readiness = address(root, "readiness");
        Optional<HostPort> metrics = address(root, "metrics");
        Optional<HostPort> peers = address(root, "peers");
        Optional<HostPort> store = address(root, "store");
        GatewaySettings.Timing timing = readTiming(root.section("timing"));
        GatewaySettings.Retries retries = readRetries(root.section("retries"));
        root.refuseOthers();
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
                retries));
    }

    private static GatewaySettings.Timing readTiming(Section section) {
        GatewaySettings.Timing timing = new GatewaySettings.Timing(
                section.number("heartbeatMillis", 10, HOUR, 1_200),
                section.number("drainMillis", 0, HOUR, 2_000),
                millis(section, "graceSeconds", 8),
                section.number("stallMillis", 10, HOUR, 2_000));
        section.refuseOthers();
        return timing;
    }

    private static GatewaySettings.Retries readRetries(Section section) {
        GatewaySettings.Retries retries = new GatewaySettings.Retries(
                section.decimal("ratio", 0, 100, 0.2),
                section.decimal("reserve", 0, 1e6, 20),
                millis(section, "windowSeconds", 10));
        section.refuseOthers();
        return retries;
    }

    private static long millis(Section section, String name, double byDefault) {
        return Math.round(section.decimal(name, 0.01, 3_600, byDefault) * 1_000);
    }

    private static Optional<HostPort> address(Section section, String name) {
        return section.required(name, value -> HostPort.parse(text(value)), ADDRESS);
    }

    private static String name(JsonNode value) {
        NameValidator.check("settings", text(value));
        return value.textValue();
    }

    private static String text(JsonNode value) {
        if (!value.isTextual()) {
            throw new IllegalArgumentException("not a text");
        }
        return value.textValue();
    }
}
