package org.cornelramp.standins;

import java.nio.file.Path;
import java.time.Clock;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.cornelramp.standins.http.Faults;
import org.cornelramp.standins.http.StandIn;
import org.cornelramp.standins.http.StandInServer;
import org.cornelramp.standins.http.Timer;
import org.cornelramp.standins.http.Trace;

/**
 * Objects that a stand-in process shares with its stand-in: clock, timer, fault switches, trace and the incarnation
 * that identifies this run of the process. Safe for use by any thread.
 */
final class StandInProcess {
    private final Faults faults = new Faults();
    private final Clock clock = Clock.systemUTC();
    private final String incarnation = UUID.randomUUID().toString();
    private final Timer timer;
    private final Trace trace;

    /**
     * @param name name of the kind
     * @param traceFile file to which the trace is appended; null for none
     */
    StandInProcess(String name, String traceFile) {
        this.timer = new Timer(name + "-timer");
        this.trace = traceFile == null ? new Trace() : new Trace(Path.of(traceFile), incarnation);
    }

    /** Builds the stand-in and serves it until the process is terminated. */
    void run(Command command, CommandLine commandLine) throws Exception {
        StandIn standIn = command.build(commandLine, this);
        StandInServer server =
                new StandInServer(standIn, faults, trace, timer, (int) Command.longValue(commandLine, "port", 0));
        int port = server.start();
        System.out.println("ready kind=" + standIn.kind() + " port=" + port);
        System.out.flush();
        server.join();
    }

    Faults faults() {
        return faults;
    }

    Trace trace() {
        return trace;
    }

    Clock clock() {
        return clock;
    }

    Timer timer() {
        return timer;
    }

    String incarnation() {
        return incarnation;
    }
}
