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
import org.cornelramp.cli.client.Entries;
import org.cornelramp.cli.client.HttpCaller;
import org.cornelramp.cli.command.Command;
import org.cornelramp.cli.command.Context;
import org.cornelramp.cli.command.Drain;
import org.cornelramp.cli.command.Explain;
import org.cornelramp.cli.command.KeyHash;
import org.cornelramp.cli.command.LogExplain;
import org.cornelramp.cli.command.ReportBurn;
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
            new ReportBurn());

    private static final String ENTRY_VARIABLE = "CORNELRAMP_ENTRY";
    private static final String KEY_VARIABLE = "CORNELRAMP_OPERATOR_KEY";
    private static final String DEFAULT_ENTRY = "http://127.0.0.1:8080";

    /** Held here, since a logger that nobody holds forgets its level. */
    private static final Logger HTTP_LOGGER = Logger.getLogger("org.eclipse.jetty");

    private Main() {}

    /** Runs one command and ends the process. */
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
     * @param variables the environment
     * @param out where results go
     * @param progress where progress and faults go
     */
    public static ExitCode run(String[] args, Map<String, String> variables, PrintStream out, PrintStream progress) {
        Optional<Command> command = COMMANDS.stream()
                .filter(one -> startsWith(args, one.words().split(" ")))
                .findFirst();
        if (command.isEmpty()) {
            out.print(Help.all(COMMANDS));
            return args.length > 0 && args[0].equals("help") ? ExitCode.DONE : ExitCode.USAGE;
        }
        int words = command.get().words().split(" ").length;
        Options options = options(command.get());
        try {
            CommandLine line = new DefaultParser().parse(options, Arrays.copyOfRange(args, words, args.length));
            if (line.hasOption("help")) {
                out.print(Help.of(command.get(), options));
                return ExitCode.DONE;
            }
            return run(command.get(), line, variables, out, progress);
        } catch (ParseException e) {
            progress.println("cornelramp: " + e.getMessage() + "; see cornelramp "
                    + command.get().words() + " --help");
            return ExitCode.USAGE;
        }
    }

    private static ExitCode run(
            Command command, CommandLine line, Map<String, String> variables, PrintStream out, PrintStream progress) {
        try (HttpCaller caller = new HttpCaller(key(line, variables))) {
            Entries entries = new Entries(urls(line, variables), caller);
            String by = line.getOptionValue("by", variables.getOrDefault("USER", "operator"));
            Context context = new Context(out, progress, Clock.systemUTC(), line.hasOption("json"), by, entries);
            return command.run(context, line);
        } catch (CliException e) {
            progress.println("cornelramp: " + e.getMessage());
            return e.code();
        }
    }

    private static boolean startsWith(String[] args, String[] words) {
        return args.length >= words.length && Arrays.equals(Arrays.copyOf(args, words.length), words);
    }

    private static Options options(Command command) {
        return command.options()
                .addOption(Option.builder()
                        .longOpt("entry")
                        .hasArg()
                        .argName("URL")
                        .desc("an entry, may be given several times; else " + ENTRY_VARIABLE + ", separated by commas")
                        .get())
                .addOption(Option.builder()
                        .longOpt("key-file")
                        .hasArg()
                        .argName("FILE")
                        .desc("file that holds the operator's key; else the variable " + KEY_VARIABLE)
                        .get())
                .addOption(Option.builder()
                        .longOpt("by")
                        .hasArg()
                        .argName("NAME")
                        .desc("who edits, for the history")
                        .get())
                .addOption(Option.builder()
                        .longOpt("json")
                        .desc("give the result as JSON")
                        .get())
                .addOption(
                        Option.builder().longOpt("help").desc("show this help").get());
    }

    private static List<String> urls(CommandLine line, Map<String, String> variables) {
        String[] named = line.getOptionValues("entry");
        String[] urls = named != null
                ? named
                : variables.getOrDefault(ENTRY_VARIABLE, DEFAULT_ENTRY).split(",");
        return Arrays.stream(urls).map(String::strip).map(Main::withoutSlash).toList();
    }

    private static String withoutSlash(String url) {
        return url.endsWith("/") ? url.substring(0, url.length() - 1) : url;
    }

    private static String key(CommandLine line, Map<String, String> variables) throws CliException {
        return line.hasOption("key-file")
                ? Context.readFile(line.getOptionValue("key-file")).strip()
                : variables.getOrDefault(KEY_VARIABLE, "");
    }
}
