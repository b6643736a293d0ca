package org.cornelramp.daemon.log;

import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.cornelramp.core.settings.LogSettings;

/** Configures logging for the whole process. Called once, before the kernel starts. */
public final class LoggingSetup {
    private static final String BASE_LOGGER_NAME = "org.cornelramp";
    /** A strong reference: the log manager holds loggers weakly, and the level of a collected logger is lost. */
    private static final Logger BASE_LOGGER = Logger.getLogger(BASE_LOGGER_NAME);

    private LoggingSetup() {}

    /** Replaces the handlers of {@code java.util.logging} by one that writes to the console. */
    public static void install(LogSettings settings) {
        LogManager.getLogManager().reset();
        Formatter formatter = settings.json() ? new JsonLineFormatter() : new TextLineFormatter();
        Handler handler = new ConsoleHandler();
        handler.setLevel(Level.ALL);
        handler.setFormatter(formatter);
        Logger root = Logger.getLogger("");
        root.addHandler(handler);
        root.setLevel(Level.WARNING);
        BASE_LOGGER.setLevel(settings.debug() ? Level.FINE : Level.INFO);
    }
}
