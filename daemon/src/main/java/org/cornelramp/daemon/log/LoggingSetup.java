package org.cornelramp.daemon.log;

import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.cornelramp.core.settings.LogSettings;

/** Sets the form of log lines for the whole process. Called once, before the kernel starts. */
public final class Logs {
    private static final String OWN = "org.cornelramp";
    /** Held, because the log manager forgets the level of a logger that nobody refers to. */
    private static final Logger OWN_LOGGER = Logger.getLogger(OWN);

    private Logs() {}

    /** Replaces the handlers of the virtual machine's logging. */
    public static void install(LogSettings settings) {
        LogManager.getLogManager().reset();
        Formatter formatter = settings.json() ? new JsonLineFormatter() : new TextLineFormatter();
        Handler handler = new ConsoleHandler();
        handler.setLevel(Level.ALL);
        handler.setFormatter(formatter);
        Logger root = Logger.getLogger("");
        root.addHandler(handler);
        root.setLevel(Level.WARNING);
        OWN_LOGGER.setLevel(settings.debug() ? Level.FINE : Level.INFO);
    }
}
