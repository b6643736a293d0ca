package org.cornelramp.cli.log;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Explains one request from the logs of all gateways: the request's own lines, and the lines from shortly before its
 * first to shortly after its last that concern its servers, the coverage of layers in the data centres, or the process,
 * store or configuration of a gateway that handled it. Immutable, safe for use by any thread.
 *
 * @param lines the lines, ordered by time
 * @param cause why the request failed, in a sentence; empty if it was served
 */
public record RequestExplanation(List<LogLine> lines, Optional<String> cause) {
    /**
     * How far before the request's first line a related event is searched for. A server is first suspected for two
     * seconds, so an earlier suspicion can still affect the request.
     */
    private static final long CONTEXT_BEFORE_MILLIS = 2_500;

    private static final long CONTEXT_AFTER_MILLIS = 200;

    /** Matches a data centre in which layers have no holder, in the field {@code layers} of a coverage line. */
    private static final Pattern MISSING_LAYERS = Pattern.compile(" none [1-9]");

    public RequestExplanation {
        lines = List.copyOf(lines);
    }

    /** Explains a request from the lines of all logs; without lines if the logs do not contain the request. */
    public static RequestExplanation of(String requestId, List<LogLine> log) {
        List<LogLine> requestLines = log.stream()
                .filter(line -> line.fieldText("id").equals(requestId))
                .toList();
        if (requestLines.isEmpty()) {
            return new RequestExplanation(List.of(), Optional.empty());
        }
        long from = requestLines.stream().mapToLong(LogLine::timeMillis).min().orElseThrow() - CONTEXT_BEFORE_MILLIS;
        long to = requestLines.stream().mapToLong(LogLine::timeMillis).max().orElseThrow() + CONTEXT_AFTER_MILLIS;
        Set<String> servers = involvedServers(requestLines);
        Set<String> gateways = new HashSet<>();
        requestLines.forEach(line -> gateways.add(line.process()));
        List<LogLine> lines = new ArrayList<>(requestLines);
        log.stream()
                .filter(line -> line.timeMillis() >= from && line.timeMillis() <= to)
                .filter(line -> !requestLines.contains(line) && isRelated(line, servers, gateways))
                .forEach(lines::add);
        lines.sort(Comparator.comparingLong(LogLine::timeMillis));
        return new RequestExplanation(lines, cause(requestLines, lines));
    }

    /** The servers that the request was sent to, and those on its paths. */
    private static Set<String> involvedServers(List<LogLine> requestLines) {
        Set<String> servers = new HashSet<>();
        for (LogLine line : requestLines) {
            servers.add(line.fieldText("server"));
            for (String hop : line.fieldText("path").split(",", -1)) {
                servers.add(hop.split("=", 2)[0]);
            }
        }
        servers.remove("");
        return servers;
    }

    private static boolean isRelated(LogLine line, Set<String> servers, Set<String> gateways) {
        return switch (line.part()) {
            case "fleet" -> line.event().equals("suspected") && servers.contains(line.fieldText("server"));
            case "placement" -> line.event().equals("coverage") || servers.contains(line.fieldText("server"));
            case "process", "store", "config" -> gateways.contains(line.process());
            default -> false;
        };
    }

    private static Optional<String> cause(List<LogLine> requestLines, List<LogLine> lines) {
        Optional<LogLine> end = requestLines.stream()
                .filter(line -> line.isEvent("request", "refused")
                        || line.isEvent("request", "broken off")
                        || line.isEvent("intake", "refused"))
                .reduce((first, second) -> second);
        return end.map(line -> line.event().equals("refused") ? refusalCause(line, lines) : breakOffCause(line, lines));
    }

    private static String refusalCause(LogLine refused, List<LogLine> lines) {
        return switch (refused.fieldText("as")) {
            case "NO_SERVER" ->
                missingLayers(lines)
                        .map(missing -> "no path had every layer: " + missing)
                        .orElse("every layer had a holder, so no engine of any path had memory or slots left");
            case "OVERLOADED" ->
                "each server that it was sent to refused it without running it: " + refused.fieldText("why");
            case "UNKNOWN" ->
                "its server may have run it and the answer was lost: " + refused.fieldText("why")
                        + "; only the server knows whether it took effect";
            case "LEAVING", "ALL_LEAVING" -> "the gateway was stopping";
            case "NO_CONFIGURATION" -> "the gateway had just started and had no configuration yet";
            case "TIMED_OUT" -> "no answer came before its deadline, and it may have run";
            default -> refused.fieldText("as") + ": " + refused.fieldText("why");
        };
    }

    private static String breakOffCause(LogLine brokenOff, List<LogLine> lines) {
        String why = brokenOff.fieldText("why");
        if (why.contains("client")) {
            return "the client closed its connection" + clientWait(brokenOff);
        }
        return lines.stream()
                .filter(line -> line.isEvent("fleet", "suspected"))
                .reduce((first, second) -> second)
                .map(line -> "server " + line.fieldText("server") + " of its path was found "
                        + line.fieldText("evidence") + " (" + line.fieldText("why")
                        + "), and the request could not continue on other servers: " + why)
                .orElse("it was interrupted and could not continue on other servers: " + why);
    }

    /**
     * What the client may have been waiting for when it closed its connection; empty if the stream had begun and waited
     * for nothing, which is the case when a client leaves of its own accord.
     */
    private static String clientWait(LogLine brokenOff) {
        String quietPeriod = " after " + brokenOff.fieldText("quietMillis") + " ms ";
        if (brokenOff.fieldText("awaitsRepeat").equals("true")) {
            return quietPeriod + "in which no repeat was left for its stream";
        }
        if (brokenOff.fieldText("awaitsPath").equals("true")) {
            return quietPeriod + "in which no engines could carry its stream on";
        }
        return brokenOff.fieldText("begun").equals("false") ? quietPeriod + "without a first event" : "";
    }

    /** The layers without a holder as of the last coverage line, such as {@code zona-mixco none 5}. */
    private static Optional<String> missingLayers(List<LogLine> lines) {
        return lines.stream()
                .filter(line -> line.isEvent("placement", "coverage"))
                .reduce((first, second) -> second)
                .map(line -> line.fieldText("layers"))
                .filter(layers -> MISSING_LAYERS.matcher(layers).find());
    }
}
