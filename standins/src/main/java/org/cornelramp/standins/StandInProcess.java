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

/** What a stand-in's process has: a clock, a timer, fault switches, a trace and a life. Safe for use by any thread. */
final class StandInProcess {
    private final Faults faults = new Faults();
    private final Clock clock = Clock.systemUTC();
    private final String life = UUID.randomUUID().toString();
    private final Timer timer;
    private final Trace trace;

    /**
     * @param name name of the kind
     * @param traceFile file that takes the trace; null for none
     */
    StandInProcess(String name, String traceFile) {
        this.timer = new Timer(name + "-timer");
        this.trace = traceFile == null ? new Trace() : new Trace(Path.of(traceFile), life);
    }

    /** Serves until the process is ended. */
    void run(Command command, CommandLine line) throws Exception {
        StandIn standIn = command.build(line, this);
        StandInServer server = new StandInServer(standIn, faults, trace, timer, (int) Command.number(line, "port", 0));
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

    String life() {
        return life;
    }
}
