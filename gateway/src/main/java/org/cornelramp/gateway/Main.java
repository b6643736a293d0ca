package org.cornelramp.gateway;

import io.vavr.control.Either;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.Arrays;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.core.settings.GatewaySettingsReader;
import org.cornelramp.daemon.kernel.Signals;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.platform.Environment;

/**
 * Starts the gateway: {@code gateway [--settings FILE]}; without the option the environment names the file. Stateless.
 */
public final class Main {
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final int EXIT_NOT_STARTED = 3;

    /**
     * Logger of the HTTP server that writes a line with a stack trace for each aborted response. It is switched off,
     * since the router logs the abort with its reason; when fifty clients disconnect at once, the stack traces cost a
     * tenth of a second and hide all other lines. The strong reference keeps the logger's level, which is lost with
     * the logger otherwise.
     */
    private static final Logger JETTY_RESPONSE_LOGGER = Logger.getLogger("org.eclipse.jetty.server.Response");

    private Main() {}

    /** Runs until a stop signal has been handled, then exits the process. */
    public static void main(String[] args) {
        PendingSignals signals = new PendingSignals();
        install(signals); // first, as the virtual machine ends the process on a signal without a handler
        Either<String, GatewaySettings> settings = file(args).flatMap(Main::read);
        if (settings.isLeft()) {
            System.err.println(settings.getLeft());
            exit(EXIT_INVALID_SETTINGS);
            return;
        }
        Logger.getLogger("").setLevel(Level.WARNING); // suppresses the routine messages of libraries
        JETTY_RESPONSE_LOGGER.setLevel(Level.OFF);
        EventLog log = new EventLog(
                new FileOutputStream(FileDescriptor.out),
                Clock.systemUTC(),
                settings.get().name());
        log.start();
        exit(run(settings.get(), file(args).get(), signals, log));
    }

    private static void install(PendingSignals signals) {
        try {
            Signals.onStop(signals::stop);
            Signals.onReload(signals::reload);
        } catch (ReflectiveOperationException e) {
            System.err.println("signals: this virtual machine has no sun.misc.Signal, use JDK 17; " + e);
            exit(EXIT_NOT_STARTED);
        }
    }

    private static int run(GatewaySettings settings, Path file, PendingSignals signals, EventLog log) {
        try {
            Gateway gateway = new Gateway(settings, SteadyClock.system(), log);
            signals.handle(gateway::beginStop, () -> reload(file, settings, log));
            gateway.start();
            gateway.awaitStop();
            log.stop();
            return 0;
        } catch (Exception | LinkageError e) {
            log.line("process", "not started")
                    .with("why", e)
                    .with("at", Arrays.toString(e.getStackTrace()))
                    .write();
            log.stop();
            return EXIT_NOT_STARTED;
        }
    }

    /**
     * Logs whether the settings file has changed; a change takes effect at the next start, since addresses and limits
     * are fixed.
     */
    private static void reload(Path file, GatewaySettings inForce, EventLog log) {
        Either<String, GatewaySettings> read = read(file);
        log.line("process", "reload")
                .with("changed", read.map(settings -> !settings.equals(inForce)).getOrElse(false))
                .with("fault", read.fold(fault -> fault, any -> ""))
                .write();
    }

    private static Either<String, Path> file(String[] args) {
        if (args.length == 2 && args[0].equals("--settings")) {
            return Either.right(Path.of(args[1]));
        }
        Optional<Path> fromEnvironment =
                args.length == 0 ? Environment.settingsFile(System.getenv()) : Optional.empty();
        return fromEnvironment.map(Either::<String, Path>right).orElse(Either.left("usage: gateway --settings FILE"));
    }

    private static Either<String, GatewaySettings> read(Path file) {
        try {
            return new GatewaySettingsReader().read(Files.readString(file)).mapLeft(faults -> faults.stream()
                    .map(Object::toString)
                    .collect(Collectors.joining("\n  ", "settings: the file has faults\n  ", "")));
        } catch (IOException e) {
            return Either.left("settings: the file cannot be read, correct its path or rights; " + e);
        }
    }

    /** Halts the JVM, so that a library's remaining thread cannot keep a stopped process alive. */
    private static void exit(int code) {
        System.err.flush();
        Runtime.getRuntime().halt(code);
    }
}
