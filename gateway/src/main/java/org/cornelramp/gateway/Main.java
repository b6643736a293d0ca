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

/** Starts the gateway, {@code gateway [--settings FILE]}; the platform may name the file instead. Stateless. */
public final class Main {
    private static final int FAULTY_SETTINGS = 2;
    private static final int NOT_STARTED = 3;

    /**
     * The server's own line for each answer that is broken off, with a stack. The router logs such an end with its reason;
     * when fifty clients leave at once the stacks cost a tenth of a second and are all that the log shows. Kept here, as
     * a logger that nothing refers to forgets its level.
     */
    private static final Logger FAILED_ANSWERS = Logger.getLogger("org.eclipse.jetty.server.Response");

    private Main() {}

    /** Runs until a stop signal has been handled, then ends the process. */
    public static void main(String[] args) {
        Either<String, GatewaySettings> settings = file(args).flatMap(Main::read);
        if (settings.isLeft()) {
            System.err.println(settings.getLeft());
            end(FAULTY_SETTINGS);
            return;
        }
        Logger.getLogger("").setLevel(Level.WARNING); // what libraries say of their ordinary work is not ours to log
        FAILED_ANSWERS.setLevel(Level.OFF);
        EventLog log = new EventLog(
                new FileOutputStream(FileDescriptor.out),
                Clock.systemUTC(),
                settings.get().name());
        log.start();
        end(run(settings.get(), file(args).get(), log));
    }

    private static int run(GatewaySettings settings, Path file, EventLog log) {
        try {
            Gateway gateway = new Gateway(settings, SteadyClock.system(), log);
            Signals.onStop(gateway::beginStop);
            Signals.onReload(() -> reload(file, settings, log));
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
            return NOT_STARTED;
        }
    }

    /** Addresses and bounds are fixed for a process's life, so a change is told and waits for the next start. */
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
        Optional<Path> given = args.length == 0 ? Environment.settingsFile(System.getenv()) : Optional.empty();
        return given.map(Either::<String, Path>right).orElse(Either.left("usage: gateway --settings FILE"));
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

    /** Halts, because a library's forgotten thread must not keep a stopped process alive. */
    private static void end(int code) {
        System.err.flush();
        Runtime.getRuntime().halt(code);
    }
}
