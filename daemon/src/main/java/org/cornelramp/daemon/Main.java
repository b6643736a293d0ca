package org.cornelramp.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import java.util.ServiceConfigurationError;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.cornelramp.core.settings.DaemonSettings;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.core.settings.SettingsFault;
import org.cornelramp.core.settings.SettingsReader;
import org.cornelramp.daemon.http.HttpServer;
import org.cornelramp.daemon.kernel.Kernel;
import org.cornelramp.daemon.kernel.Registry;
import org.cornelramp.daemon.kernel.Signals;
import org.cornelramp.daemon.kernel.StopSwitch;
import org.cornelramp.daemon.log.LoggingSetup;

/**
 * Entry point of the daemon, {@code cornelrampd --settings FILE}; the exit codes are in {@link ExitCode}. Stateless.
 */
public final class Main {
    private static final System.Logger LOG = System.getLogger(Main.class.getName());

    private Main() {}

    /** Runs until a stop signal has been handled, then ends the process. */
    public static void main(String[] args) {
        Either<String, DaemonSettings> settings = settingsFile(args).flatMap(Main::read);
        if (settings.isLeft()) {
            System.err.println(settings.getLeft());
            exit(ExitCode.FAULTY_SETTINGS);
        }
        LoggingSetup.install(settings.get().log());
        exit(run(settings.get()));
    }

    private static Either<String, Path> settingsFile(String[] args) {
        Options options = new Options()
                .addOption(Option.builder("s")
                        .longOpt("settings")
                        .hasArg()
                        .required()
                        .get());
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            return line.getArgList().isEmpty()
                    ? Either.right(Path.of(line.getOptionValue("settings")))
                    : Either.left("usage: cornelrampd --settings FILE");
        } catch (ParseException e) {
            return Either.left("usage: cornelrampd --settings FILE; " + e.getMessage());
        }
    }

    private static Either<String, DaemonSettings> read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            return Either.left("settings: the file cannot be read, correct its path or rights; file=" + file);
        }
        return new SettingsReader().read(text).mapLeft(faults -> print(file, faults));
    }

    private static String print(Path file, List<SettingsFault> faults) {
        StringBuilder text =
                new StringBuilder("settings: the file has faults; file=" + file + " faults=" + faults.size());
        faults.forEach(fault -> text.append('\n').append("  ").append(fault));
        return text.toString();
    }

    private static ExitCode run(DaemonSettings settings) {
        Clock clock = Clock.systemUTC();
        Registry registry = new Registry(settings, clock, new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
        Kernel kernel = new Kernel(registry, clock);
        PlannedStop stop = new PlannedStop(kernel, clock, settings.timing().drainMillis());
        try {
            registry.share(StopSwitch.class, stop::begin);
            Signals.onStop(stop::onStopSignal);
            kernel.start();
            System.out.println(readyLine(settings, registry));
            return stop.awaitAndRun();
        } catch (Exception | ServiceConfigurationError | LinkageError e) {
            LOG.log(System.Logger.Level.ERROR, "kernel: the daemon did not start; why=" + e, e);
            return ExitCode.NOT_STARTED;
        }
    }

    private static String readyLine(DaemonSettings settings, Registry registry) {
        HostPort http = registry.require(HttpServer.class).address();
        String links = settings.links().map(address -> " links=" + address).orElse("");
        return "ready role=" + settings.role().name().toLowerCase(java.util.Locale.ROOT) + " name=" + settings.name()
                + " http=" + http + links;
    }

    /**
     * Halts the virtual machine, because a thread that a library left running must not keep a stopped process alive.
     */
    private static void exit(ExitCode code) {
        System.out.flush();
        System.err.flush();
        Runtime.getRuntime().halt(code.code());
    }
}
