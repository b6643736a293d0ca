package org.cornelramp.core.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.net.URI;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.NameValidator;
import org.cornelramp.core.selection.ChoicePolicy;

/**
 * Reads a daemon's settings from JSON: returns the settings, or every fault at once.
 *
 * <p>An unknown or repeated name is a fault; otherwise a misspelt setting would silently keep its default.
 * Stateless, safe for use by any thread.
 */
public final class SettingsReader {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");
    private static final String ADDRESS_REMEDY = "Give host:port, the port from 0 to 65535.";
    private static final String URL_REMEDY = "Give a URL such as http://10.0.3.7:7070.";
    private static final String CHOICE_REMEDY = "Give one of "
            + Arrays.stream(ChoicePolicy.values()).map(ChoicePolicy::text).toList() + ".";
    private static final long DAY_MILLIS = 86_400_000L;

    /** Reads settings from the text of a file. */
    public Either<List<SettingsFault>, DaemonSettings> read(String text) {
        JsonNode root;
        try {
            root = JSON.readTree(text);
        } catch (JsonProcessingException e) {
            return Either.left(List.of(syntaxFault(e)));
        }
        List<SettingsFault> faults = new ArrayList<>();
        Optional<DaemonSettings> settings = readRoot(new SettingsSection(root, "", faults));
        return faults.isEmpty() && settings.isPresent() ? Either.right(settings.get()) : Either.left(faults);
    }

    /** Reports only the position, since the parser's own message may quote the file, including secrets. */
    private static SettingsFault syntaxFault(JsonProcessingException e) {
        JsonLocation at = e.getLocation();
        String position = at == null ? "(unknown position)" : "line " + at.getLineNr() + " column " + at.getColumnNr();
        return new SettingsFault("", position, "Correct the JSON there; names must not be repeated.");
    }

    private static Optional<DaemonSettings> readRoot(SettingsSection root) {
        Optional<Role> role = root.required("role", SettingsReader::parseRole, "Give \"entry\" or \"agent\".");
        Optional<String> name = root.required("name", SettingsReader::parseName, nameRemedy());
        Optional<DataCentre> dataCentre =
                root.required("dataCentre", value -> new DataCentre(parseName(value)), nameRemedy());
        Optional<HostPort> http = root.required("http", SettingsReader::parseAddress, ADDRESS_REMEDY);
        Optional<PlatformSettings> platform = readPlatform(root.section("platform"));
        boolean agent = role.isPresent() && role.get() == Role.AGENT;
        boolean entry = role.isPresent() && role.get() == Role.ENTRY;
        Optional<HostPort> links = Optional.empty();
        Optional<BackendSettings> backend = Optional.empty();
        Optional<OperatorSettings> operators = Optional.empty();
        if (agent) {
            links = root.required("links", SettingsReader::parseAddress, ADDRESS_REMEDY);
            backend = readBackend(root.section("backend"));
            root.forbid("operators", "Remove it: only an entry serves operators.");
        }
        if (entry) {
            root.forbid("links", "Remove it: only an agent accepts links.");
            root.forbid("backend", "Remove it: only an agent has a backend server.");
            operators = root.has("operators") ? readOperators(root.section("operators")) : Optional.empty();
        }
        if (role.isEmpty()) {
            List.of("links", "backend", "operators").forEach(root::has);
        }
        TimingSettings timing = readTiming(root.section("timing"));
        BoundSettings bounds = readBounds(root.section("bounds"));
        LogSettings log = readLog(root.section("log"));
        ChoicePolicy choice = root.optional("choice", SettingsReader::parseChoice, CHOICE_REMEDY)
                .orElse(ChoicePolicy.EXPECTED_COMPLETION);
        root.rejectUnknownNames();
        if (role.isEmpty() || name.isEmpty() || dataCentre.isEmpty() || http.isEmpty() || platform.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new DaemonSettings(
                role.get(),
                name.get(),
                dataCentre.get(),
                http.get(),
                links,
                platform.get(),
                backend,
                operators,
                timing,
                bounds,
                log,
                choice));
    }

    private static Optional<PlatformSettings> readPlatform(SettingsSection section) {
        Optional<String> log = section.required("logUrl", SettingsReader::parseUrl, URL_REMEDY);
        Optional<String> vmList = section.required("vmListUrl", SettingsReader::parseUrl, URL_REMEDY);
        Optional<String> weightStore = section.optional("weightStoreUrl", SettingsReader::parseUrl, URL_REMEDY);
        section.rejectUnknownNames();
        return log.flatMap(url -> vmList.map(vms -> new PlatformSettings(url, vms, weightStore)));
    }

    private static Optional<BackendSettings> readBackend(SettingsSection section) {
        Optional<BackendKind> kind =
                section.required("kind", SettingsReader::parseBackendKind, "Give \"engine\" or \"service\".");
        Optional<String> url = section.required("url", SettingsReader::parseUrl, URL_REMEDY);
        boolean checksTerms = section.bool("checksTerms", false);
        section.rejectUnknownNames();
        return kind.flatMap(is -> url.map(at -> new BackendSettings(is, at, checksTerms)));
    }

    private static Optional<OperatorSettings> readOperators(SettingsSection section) {
        Optional<List<String>> hashes = section.required(
                "keyHashes",
                SettingsReader::parseHashes,
                "Give a list of SHA-256 hashes in lower-case hexadecimal, one for each operator's key.");
        section.rejectUnknownNames();
        return hashes.map(OperatorSettings::new);
    }

    private static TimingSettings readTiming(SettingsSection section) {
        TimingSettings defaults = TimingSettings.DEFAULTS;
        TimingSettings timing = new TimingSettings(
                section.number("heartbeatMillis", 10, 60_000, defaults.heartbeatMillis()),
                section.number("vmListMillis", 50, 60_000, defaults.vmListMillis()),
                section.number("drainMillis", 0, DAY_MILLIS, defaults.drainMillis()),
                section.number("backendTimeoutMillis", 10, 600_000, defaults.backendTimeoutMillis()),
                section.number("keyWindowMillis", 1_000, 30 * DAY_MILLIS, defaults.keyWindowMillis()),
                section.number("snapshotMillis", 1_000, 30 * DAY_MILLIS, defaults.snapshotMillis()));
        section.rejectUnknownNames();
        return timing;
    }

    private static BoundSettings readBounds(SettingsSection section) {
        BoundSettings defaults = BoundSettings.DEFAULTS;
        BoundSettings bounds = new BoundSettings(
                (int) section.number("bodyBytes", 1_024, 1 << 30, defaults.bodyBytes()),
                (int) section.number("headerBytes", 1_024, 1 << 20, defaults.headerBytes()),
                (int) section.number("frameBytes", 1_024, 1 << 30, defaults.frameBytes()),
                readRingSlots(section, defaults.ringSlots()),
                (int) section.number("inProgress", 1, 1 << 20, defaults.inProgress()),
                (int) section.number("keptOutputs", 1, 1 << 24, defaults.keptOutputs()),
                (int) section.number("keys", 1, 1 << 28, defaults.keys()));
        section.rejectUnknownNames();
        return bounds;
    }

    private static int readRingSlots(SettingsSection section, int defaultSlots) {
        return section.optional("ringSlots", SettingsReader::parseRingSlots, "Give a power of two from 64 to 1048576.")
                .orElse(defaultSlots);
    }

    private static LogSettings readLog(SettingsSection section) {
        LogSettings log = new LogSettings(
                section.bool("json", LogSettings.DEFAULTS.json()), section.bool("debug", LogSettings.DEFAULTS.debug()));
        section.rejectUnknownNames();
        return log;
    }

    private static int parseRingSlots(JsonNode value) {
        int slots = value.isInt() ? value.intValue() : 0;
        if (slots < 64 || slots > 1 << 20 || Integer.bitCount(slots) != 1) {
            throw new IllegalArgumentException("not a power of two");
        }
        return slots;
    }

    private static Role parseRole(JsonNode value) {
        return switch (parseText(value)) {
            case "entry" -> Role.ENTRY;
            case "agent" -> Role.AGENT;
            default -> throw new IllegalArgumentException("no such role");
        };
    }

    private static ChoicePolicy parseChoice(JsonNode value) {
        return ChoicePolicy.parse(parseText(value));
    }

    private static BackendKind parseBackendKind(JsonNode value) {
        return switch (parseText(value)) {
            case "engine" -> BackendKind.ENGINE;
            case "service" -> BackendKind.SERVICE;
            default -> throw new IllegalArgumentException("no such kind");
        };
    }

    private static String parseName(JsonNode value) {
        NameValidator.check("settings", parseText(value));
        return value.textValue();
    }

    private static HostPort parseAddress(JsonNode value) {
        return HostPort.parse(parseText(value));
    }

    private static String parseUrl(JsonNode value) {
        URI url = URI.create(parseText(value));
        boolean http = "http".equals(url.getScheme()) || "https".equals(url.getScheme());
        if (!http || url.getHost() == null) {
            throw new IllegalArgumentException("not an HTTP URL");
        }
        return url.toString();
    }

    private static List<String> parseHashes(JsonNode value) {
        List<String> hashes = new ArrayList<>();
        value.forEach(hash -> hashes.add(parseText(hash)));
        if (!value.isArray() || hashes.isEmpty() || !hashes.stream().allMatch(SettingsReader::isHash)) {
            throw new IllegalArgumentException("not hashes");
        }
        return hashes;
    }

    private static boolean isHash(String text) {
        return HASH.matcher(text).matches();
    }

    private static String parseText(JsonNode value) {
        if (!value.isTextual()) {
            throw new IllegalArgumentException("not a string");
        }
        return value.textValue();
    }

    private static String nameRemedy() {
        return "Give 1 to " + NameValidator.MAX_LENGTH
                + " letters, digits, dots, dashes or underscores, first a letter or digit.";
    }
}
