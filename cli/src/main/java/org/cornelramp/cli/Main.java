package org.cornelramp.cli;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.cornelramp.cli.client.EntryClient;
import org.cornelramp.cli.client.OperatorHttpClient;
import org.cornelramp.cli.command.Command;
import org.cornelramp.cli.command.CommandContext;
import org.cornelramp.cli.command.Drain;
import org.cornelramp.cli.command.Explain;
import org.cornelramp.cli.command.KeyHash;
import org.cornelramp.cli.command.LogExplain;
import org.cornelramp.cli.command.ReportBurn;
import org.cornelramp.cli.command.RouteExplain;
import org.cornelramp.cli.command.SettingsCheck;
import org.cornelramp.cli.command.Status;
import org.cornelramp.cli.command.TableExport;
import org.cornelramp.cli.command.TableGet;
import org.cornelramp.cli.command.TableHistory;
import org.cornelramp.cli.command.TableImport;
import org.cornelramp.cli.command.TableSet;

/** The operators' command line, {@code cornelramp COMMAND [ARGUMENT ...]}; see {@link ExitCode}. Stateless. */
public final class Main {
    private static final List<Command> COMMANDS = List.of(
            new SettingsCheck(),
            new KeyHash(),
            new TableGet(),
            new TableSet(),
            new TableImport(),
            new TableExport(),
            new TableHistory(),
            new Status(),
            new Drain(),
            new Explain(),
            new LogExplain(),
            new RouteExplain(),
            new ReportBurn());

    private static final String ENTRY_VARIABLE = "CORNELRAMP_ENTRY";
    private static final String KEY_VARIABLE = "CORNELRAMP_OPERATOR_KEY";
    private static final String DEFAULT_ENTRY = "http://127.0.0.1:8080";

    /** {@link Logger} instances are held weakly; without this reference the logger and its level could be collected. */
    private static final Logger HTTP_LOGGER = Logger.getLogger("org.eclipse.jetty");

    private Main() {}

    /** Runs one command and exits the process with its code. */
    public static void main(String[] args) {
        HTTP_LOGGER.setLevel(Level.OFF);
        PrintStream out = new PrintStream(System.out, false, StandardCharsets.UTF_8);
        PrintStream progress = new PrintStream(System.err, true, StandardCharsets.UTF_8);
        ExitCode code = run(args, System.getenv(), out, progress);
        out.flush();
        System.exit(code.code());
    }

    /**
     * Runs one command.
     *
     * @param variables the environment variables
     * @param out receives results
     * @param progress receives progress and error messages
     */
    public static ExitCode run(String[] args, Map<String, String> variables, PrintStream out, PrintStream progress) {
        Optional<Command> command = COMMANDS.stream()
                .filter(candidate -> startsWith(args, candidate.name().split(" ")))
                .findFirst();
        if (command.isEmpty()) {
            out.print(Help.allCommands(COMMANDS));
            return args.length > 0 && args[0].equals("help") ? ExitCode.DONE : ExitCode.USAGE;
        }
        int nameLength = command.get().name().split(" ").length;
        Options options = allOptions(command.get());
        try {
            CommandLine line = new DefaultParser().parse(options, Arrays.copyOfRange(args, nameLength, args.length));
            if (line.hasOption("help")) {
                out.print(Help.oneCommand(command.get(), options));
                return ExitCode.DONE;
            }
            return run(command.get(), line, variables, out, progress);
        } catch (ParseException e) {
            progress.println("cornelramp: " + e.getMessage() + "; see cornelramp "
                    + command.get().name() + " --help");
            return ExitCode.USAGE;
        }
    }

    private static ExitCode run(
            Command command, CommandLine line, Map<String, String> variables, PrintStream out, PrintStream progress) {
        try (OperatorHttpClient http = new OperatorHttpClient(operatorKey(line, variables))) {
            EntryClient entryClient = new EntryClient(entryUrls(line, variables), http);
            String operatorName = line.getOptionValue("by", variables.getOrDefault("USER", "operator"));
            CommandContext context = new CommandContext(
                    out, progress, Clock.systemUTC(), line.hasOption("json"), operatorName, entryClient);
            return command.run(context, line);
        } catch (CliException e) {
            progress.println("cornelramp: " + e.getMessage());
            return e.code();
        }
    }

    private static boolean startsWith(String[] args, String[] name) {
        return args.length >= name.length && Arrays.equals(Arrays.copyOf(args, name.length), name);
    }

    private static Options allOptions(Command command) {
        return command.options()
                .addOption(Option.builder()
                        .longOpt("entry")
                        .hasArg()
                        .argName("URL")
                        .desc("base URL of an entry, may be given several times; default: " + ENTRY_VARIABLE
                                + ", separated by commas")
                        .get())
                .addOption(Option.builder()
                        .longOpt("key-file")
                        .hasArg()
                        .argName("FILE")
                        .desc("file that holds the operator's key; default: the variable " + KEY_VARIABLE)
                        .get())
                .addOption(Option.builder()
                        .longOpt("by")
                        .hasArg()
                        .argName("NAME")
                        .desc("name of the operator, recorded in the history")
                        .get())
                .addOption(Option.builder()
                        .longOpt("json")
                        .desc("print the result as JSON")
                        .get())
                .addOption(
                        Option.builder().longOpt("help").desc("show this help").get());
    }

    private static List<String> entryUrls(CommandLine line, Map<String, String> variables) {
        String[] given = line.getOptionValues("entry");
        String[] urls = given != null
                ? given
                : variables.getOrDefault(ENTRY_VARIABLE, DEFAULT_ENTRY).split(",");
        return Arrays.stream(urls)
                .map(String::strip)
                .map(Main::withoutTrailingSlash)
                .toList();
    }

    private static String withoutTrailingSlash(String url) {
        return url.endsWith("/") ? url.substring(0, url.length() - 1) : url;
    }

    private static String operatorKey(CommandLine line, Map<String, String> variables) throws CliException {
        return line.hasOption("key-file")
                ? CommandContext.readFile(line.getOptionValue("key-file")).strip()
                : variables.getOrDefault(KEY_VARIABLE, "");
    }
}
