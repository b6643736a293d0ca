package org.cornelramp.cli.log;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * What the logs of all gateways tell of one request: its own lines, and what was learned about its servers, its data
 * centres' layers, its gateway and its store just before and meanwhile. Immutable, safe for use by any thread.
 *
 * @param lines the lines in the order of their time
 * @param cause the cause in a sentence; empty if the request was served
 */
public record RequestStory(List<LogLine> lines, Optional<String> cause) {
    /** News from before a request that may explain it: a suspicion lasts two seconds at first. */
    private static final long BEFORE_MILLIS = 2_500;

    private static final long AFTER_MILLIS = 200;

    /** A data centre that lacks layers, in a line that tells of the layers' holders. */
    private static final Pattern MISSING = Pattern.compile(" none [1-9]");

    public RequestStory {
        lines = List.copyOf(lines);
    }

    /** Tells the story of a request from all lines; no lines if the logs do not know it. */
    public static RequestStory of(String requestId, List<LogLine> log) {
        List<LogLine> own =
                log.stream().filter(line -> line.text("id").equals(requestId)).toList();
        if (own.isEmpty()) {
            return new RequestStory(List.of(), Optional.empty());
        }
        long from = own.stream().mapToLong(LogLine::millis).min().orElseThrow() - BEFORE_MILLIS;
        long to = own.stream().mapToLong(LogLine::millis).max().orElseThrow() + AFTER_MILLIS;
        Set<String> servers = servers(own);
        Set<String> gateways = new HashSet<>();
        own.forEach(line -> gateways.add(line.process()));
        List<LogLine> lines = new ArrayList<>(own);
        log.stream()
                .filter(line -> line.millis() >= from && line.millis() <= to)
                .filter(line -> !own.contains(line) && explains(line, servers, gateways))
                .forEach(lines::add);
        lines.sort(Comparator.comparingLong(LogLine::millis));
        return new RequestStory(lines, cause(own, lines));
    }

    /** The servers that it was sent to, and those that its paths pass. */
    private static Set<String> servers(List<LogLine> own) {
        Set<String> servers = new HashSet<>();
        for (LogLine line : own) {
            servers.add(line.text("server"));
            for (String hop : line.text("path").split(",", -1)) {
                servers.add(hop.split("=", 2)[0]);
            }
        }
        servers.remove("");
        return servers;
    }

    private static boolean explains(LogLine line, Set<String> servers, Set<String> gateways) {
        return switch (line.part()) {
            case "fleet" -> line.event().equals("suspected") && servers.contains(line.text("server"));
            case "placement" -> line.event().equals("coverage") || servers.contains(line.text("server"));
            case "process", "store", "config" -> gateways.contains(line.process());
            default -> false;
        };
    }

    private static Optional<String> cause(List<LogLine> own, List<LogLine> lines) {
        Optional<LogLine> end = own.stream()
                .filter(line -> line.is("request", "refused")
                        || line.is("request", "broken off")
                        || line.is("intake", "refused"))
                .reduce((first, second) -> second);
        return end.map(line -> line.event().equals("refused") ? refusal(line, lines) : brokenOff(line, lines));
    }

    private static String refusal(LogLine refused, List<LogLine> lines) {
        return switch (refused.text("as")) {
            case "NO_SERVER" ->
                gap(lines)
                        .map(gap -> "no path had every layer: " + gap)
                        .orElse("every layer had a holder, so no engine of any path had memory or slots left");
            case "OVERLOADED" -> "each server that it was sent to refused it unrun: " + refused.text("why");
            case "UNKNOWN" ->
                "its server may have run it and the answer was lost: " + refused.text("why")
                        + "; only the server knows whether it took effect";
            case "LEAVING", "ALL_LEAVING" -> "the gateway was stopping";
            case "NO_CONFIGURATION" -> "the gateway had just started and had no configuration yet";
            case "TIMED_OUT" -> "no answer came before its deadline, and it may have run";
            default -> refused.text("as") + ": " + refused.text("why");
        };
    }

    private static String brokenOff(LogLine broken, List<LogLine> lines) {
        String why = broken.text("why");
        if (why.contains("client")) {
            return "the client closed its connection" + waiting(broken);
        }
        return lines.stream()
                .filter(line -> line.is("fleet", "suspected"))
                .reduce((first, second) -> second)
                .map(line -> "server " + line.text("server") + " of its path was found " + line.text("evidence") + " ("
                        + line.text("why") + "), and it could not go on elsewhere: " + why)
                .orElse("it was cut and could not go on elsewhere: " + why);
    }

    /** What the client may have waited for when it left; a client that leaves by its own will has just had an event. */
    private static String waiting(LogLine broken) {
        String quiet = " after " + broken.text("quietMillis") + " ms ";
        if (broken.text("awaitsRepeat").equals("true")) {
            return quiet + "in which no repeat was left for its stream";
        }
        if (broken.text("awaitsPath").equals("true")) {
            return quiet + "in which no engines could carry its stream on";
        }
        return broken.text("begun").equals("false") ? quiet + "without a first event" : "";
    }

    /** The last known gap of layers, as {@code zona-mixco none 5}. */
    private static Optional<String> gap(List<LogLine> lines) {
        return lines.stream()
                .filter(line -> line.is("placement", "coverage"))
                .reduce((first, second) -> second)
                .map(line -> line.text("layers"))
                .filter(layers -> MISSING.matcher(layers).find());
    }
}
