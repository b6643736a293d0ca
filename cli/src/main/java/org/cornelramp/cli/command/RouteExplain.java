package org.cornelramp.cli.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cornelramp.cli.CliException;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.cli.client.CallException;
import org.cornelramp.cli.client.EntryResponse;
import org.cornelramp.cli.client.OperatorHttpClient;
import org.cornelramp.cli.text.TextTable;
import org.cornelramp.core.operate.OperatorJson;
import org.cornelramp.core.operate.RouteExplanation;
import org.cornelramp.core.operate.RouteExplanationError;
import org.cornelramp.core.routing.KeyId;
import org.eclipse.jetty.http.HttpMethod;

/** Asks a gateway where it would send a request now, and why. Nothing is sent to a server. Stateless. */
public final class RouteExplain implements Command {
    /** Options whose values are passed to the gateway, with the names of its parameters. */
    private static final Map<String, String> PARAMETERS = new LinkedHashMap<>();

    static {
        PARAMETERS.put("route", "route");
        PARAMETERS.put("host", "host");
        PARAMETERS.put("path", "path");
        PARAMETERS.put("key-id", "keyId");
        PARAMETERS.put("request-id", "requestId");
        PARAMETERS.put("prompt-tokens", "promptTokens");
        PARAMETERS.put("output-tokens", "outputTokens");
        PARAMETERS.put("prompt-prefix", "promptPrefix");
    }

    @Override
    public String name() {
        return "route explain";
    }

    @Override
    public String arguments() {
        return "HOST:PORT";
    }

    @Override
    public String summary() {
        return "explain where the gateway with this metrics address would send a request now; nothing is sent";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(option("route", "NAME", "name of the request's route; or give --host and --path"))
                .addOption(option("host", "HOST", "host of the request"))
                .addOption(option("path", "PATH", "path of the request"))
                .addOption(option("key-id", "HASH", "id of the organisation's key as printed by key hash, not the key"))
                .addOption(option("request-id", "ID", "id of the request, which selects among the services of a route"))
                .addOption(option("prompt-tokens", "N", "tokens of its prompt"))
                .addOption(option("output-tokens", "N", "maximum tokens of its answer"))
                .addOption(option(
                        "prompt-prefix", "PARTS", "parts of its prompt: ID:TOKENS separated by commas, its own last"));
    }

    private static Option option(String name, String value, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(value)
                .desc(description)
                .get();
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CliException {
        String gateway =
                CommandContext.argument(line.getArgList(), 0, "the HOST:PORT of the gateway's setting 'metrics'");
        String url = url(gateway) + "/route/explain?" + query(line);
        RouteExplanation explanation;
        try (OperatorHttpClient http = OperatorHttpClient.forGateways()) {
            explanation = read(http.call(HttpMethod.GET, url, "", ""), gateway);
        } catch (CallException e) {
            throw new CliException(
                    ExitCode.UNREACHABLE,
                    "the gateway does not answer; check that it runs, and that " + gateway
                            + " is the address of its setting 'metrics'");
        }
        if (context.json()) {
            context.printJson(explanation);
        } else {
            print(context, explanation);
        }
        return ExitCode.DONE;
    }

    private static String url(String gateway) throws CliException {
        String url = gateway.startsWith("http://") ? gateway : "http://" + gateway;
        try {
            URI uri = URI.create(url);
            if (uri.getHost() != null && uri.getPort() > 0 && uri.getRawPath().isEmpty()) {
                return url;
            }
        } catch (IllegalArgumentException e) {
            // reported below
        }
        throw new CliException(
                ExitCode.USAGE, "the address of the gateway is not HOST:PORT; give that of its setting 'metrics'");
    }

    private static String query(CommandLine line) throws CliException {
        if (!line.hasOption("route") && !(line.hasOption("host") && line.hasOption("path"))) {
            throw new CliException(ExitCode.USAGE, "the request is not named; give --route, or --host and --path");
        }
        // Checked here too, so that a key that is given by mistake is not sent.
        if (line.hasOption("key-id")
                && KeyId.parse(line.getOptionValue("key-id")).isEmpty()) {
            throw new CliException(
                    ExitCode.USAGE,
                    "--key-id is not the id of a key; give the 64 hexadecimal digits that key hash prints, never the key");
        }
        return PARAMETERS.entrySet().stream()
                .filter(parameter -> line.hasOption(parameter.getKey()))
                .map(parameter -> parameter.getValue() + "="
                        + URLEncoder.encode(line.getOptionValue(parameter.getKey()), StandardCharsets.UTF_8))
                .collect(Collectors.joining("&"));
    }

    private static RouteExplanation read(EntryResponse response, String gateway) throws CliException {
        try {
            if (response.isSuccess()) {
                return OperatorJson.LENIENT.readValue(response.body(), RouteExplanation.class);
            }
            RouteExplanationError error = OperatorJson.STRICT.readValue(response.body(), RouteExplanationError.class);
            throw new CliException(ExitCode.REFUSED, error.error() + " " + error.remedy());
        } catch (JsonProcessingException e) {
            throw new CliException(
                    ExitCode.REFUSED,
                    gateway + " answers with status " + response.status()
                            + " but does not explain decisions; give the address of the setting 'metrics' of a gateway"
                            + " of this version");
        }
    }

    private static void print(CommandContext context, RouteExplanation explanation) {
        RouteExplanation.Request request = explanation.request();
        TextTable facts = new TextTable("what", "value");
        facts.add(List.of("gateway", explanation.gateway() + ", configuration " + explanation.configVersion()));
        facts.add(List.of(
                "request",
                "route " + request.route() + ", " + request.kind() + ", service " + request.service()
                        + ", organisation "
                        + request.organisation().orElse("none") + ", rank " + request.rank() + ", prompt tokens "
                        + request.promptTokens() + ", expected tokens " + request.expectedTokens()));
        RouteExplanation.Verdict verdict = explanation.verdict();
        facts.add(List.of("verdict", verdict.decision() + ", decided by " + verdict.decidedBy()));
        facts.add(List.of("reason", verdict.reason()));
        facts.add(List.of("choice", explanation.choice().orElse("none")));
        facts.add(List.of("expected wait", expectedWait(verdict)));
        facts.add(List.of("status", verdict.status().map(Object::toString).orElse("-")));
        facts.add(List.of("Retry-After", retry(verdict)));
        context.out().print(facts);
        context.out().println();
        context.out().print(candidates(explanation));
        if (explanation.candidatesLeftOut() > 0) {
            context.out().println("and " + explanation.candidatesLeftOut() + " more");
        }
        context.out().println();
        context.out().print(figures(explanation));
    }

    private static String expectedWait(RouteExplanation.Verdict verdict) {
        return verdict.expectedWaitMillis()
                .map(millis -> millis + " ms")
                .orElse(verdict.decision().equals("waits") ? "not known" : "-");
    }

    private static String retry(RouteExplanation.Verdict verdict) {
        return verdict.retryAfterMillis()
                .map(least -> seconds(least) + " to "
                        + seconds(verdict.maxRetryAfterMillis().orElse(least)) + " s, at random")
                .orElse("-");
    }

    private static String seconds(long millis) {
        return String.format(Locale.ROOT, "%.2f", millis / 1_000.0);
    }

    private static TextTable candidates(RouteExplanation explanation) {
        TextTable table = new TextTable("candidate", "data centre", "cost ms", "chance", "path", "note");
        for (RouteExplanation.Candidate candidate : explanation.candidates()) {
            table.add(List.of(
                    candidate.server(),
                    candidate.dataCentre(),
                    number(candidate.costMillis()),
                    number(candidate.chance()),
                    candidate.path(),
                    candidate.note()));
        }
        return table;
    }

    private static TextTable figures(RouteExplanation explanation) {
        TextTable table = new TextTable("figure", "value", "age ms");
        for (RouteExplanation.Figure figure : explanation.figures()) {
            List<String> row = new ArrayList<>();
            row.add(figure.name());
            row.add((number(Optional.of(figure.value())) + " " + figure.unit()).strip());
            row.add(figure.ageMillis().map(Object::toString).orElse("-"));
            table.add(row);
        }
        return table;
    }

    private static String number(Optional<Double> value) {
        return value.map(number -> number == Math.rint(number) && Math.abs(number) < 1e9
                        ? Long.toString(Math.round(number))
                        : number.toString())
                .orElse("-");
    }
}
