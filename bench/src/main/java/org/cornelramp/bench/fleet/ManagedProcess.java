package org.cornelramp.bench.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One process of a fleet that can be started, signalled by its process id and restarted.
 *
 * <p>Safe for use by any thread. Invariant: only a process that this object started is ever signalled.
 */
public final class ManagedProcess {
    private static final Duration READY_LIMIT = Duration.ofSeconds(30);
    private static final Duration KILL_LIMIT = Duration.ofSeconds(10);
    private static final long POLL_MILLIS = 10;

    private final String name;
    private final List<String> command;
    private final Path output;
    private Process process;

    /**
     * @param name name of the process within its fleet
     * @param command program and arguments
     * @param output file for the standard output and error of the process
     */
    public ManagedProcess(String name, List<String> command, Path output) {
        this.name = name;
        this.command = List.copyOf(command);
        this.output = output;
    }

    /** Name of the process within its fleet. */
    public String name() {
        return name;
    }

    /** File with the standard output and error of the process; each start clears it. */
    public Path output() {
        return output;
    }

    /** Starts the process without waiting for it. */
    public synchronized void launch() {
        try {
            Files.writeString(output, "", StandardCharsets.UTF_8);
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                    .start();
        } catch (IOException e) {
            throw new FleetException("Could not start " + name + "; build the jars first", e);
        }
    }

    /** Waits until the process has printed its ready line. */
    public void awaitReady() {
        long limit = System.nanoTime() + READY_LIMIT.toNanos();
        while (!isReady()) {
            if (!isAlive() || System.nanoTime() - limit > 0) {
                throw new FleetException(name + " did not become ready; its output:\n" + readOutput());
            }
            pause();
        }
    }

    /** Starts the process and waits until it is ready. */
    public void start() {
        launch();
        awaitReady();
    }

    /** Ends the process at once, as a crash of its VM would (SIGKILL). */
    public void kill() {
        current().destroyForcibly();
        awaitEnd(KILL_LIMIT);
    }

    /** Requests a planned stop (SIGTERM) without waiting for it. */
    public void terminate() {
        signal("TERM");
    }

    /** Makes the process read its settings again (SIGHUP). */
    public void requestReload() {
        signal("HUP");
    }

    /** Pauses the process (SIGSTOP): its connections stay open and carry no data. */
    public void suspend() {
        signal("STOP");
    }

    /** Resumes a paused process (SIGCONT). */
    public void resume() {
        signal("CONT");
    }

    /** Waits for the end of the process; false if it did not end in time. */
    public boolean awaitEnd(Duration limit) {
        try {
            return current().waitFor(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Exit code of a process that has ended. */
    public int exitCode() {
        return current().exitValue();
    }

    /** Id of the process. */
    public long pid() {
        return current().pid();
    }

    /** Whether the process runs. */
    public synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** The output of the process since it was last started. */
    public String readOutput() {
        try {
            return Files.readString(output, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new FleetException("Could not read the output of " + name, e);
        }
    }

    private boolean isReady() {
        return readOutput().lines().anyMatch(line -> line.startsWith("ready "));
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new FleetException("Could not signal " + name, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized Process current() {
        if (process == null) {
            throw new FleetException(name + " was never started");
        }
        return process;
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("Interrupted while waiting", e);
        }
    }
}
