package org.cornelramp.gateway;

/**
 * Keeps the signals that a process receives before it can handle them. Safe for use by any thread. Invariant: no signal
 * is lost, and none is handled twice.
 */
final class PendingSignals {
    private boolean stopPending;
    private boolean reloadPending;
    private Runnable onStop;
    private Runnable onReload;

    /** Handles a stop signal, now or once there is a handler. */
    synchronized void stop() {
        if (onStop == null) {
            stopPending = true;
        } else {
            onStop.run();
        }
    }

    /** Handles a reload signal, now or once there is a handler. */
    synchronized void reload() {
        if (onReload == null) {
            reloadPending = true;
        } else {
            onReload.run();
        }
    }

    /** Sets the handlers, and calls them for the signals received so far. */
    synchronized void handle(Runnable stopHandler, Runnable reloadHandler) {
        onStop = stopHandler;
        onReload = reloadHandler;
        if (reloadPending) {
            reloadHandler.run();
        }
        if (stopPending) {
            stopHandler.run();
        }
    }
}
