package org.cornelramp.bench.soak;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.ManagedProcess;
import org.cornelramp.bench.fleet.Member;

/** The kinds of faults that a run draws from, each with its target and the actions that start and end it. */
public enum FaultKind {
    /** An agent is killed and restarted without its in-memory state. */
    KILL_AGENT(Target.AGENT, true) {
        @Override
        void begin(FaultContext context) {
            context.daemon().kill();
        }

        @Override
        void end(FaultContext context) {
            context.restart(context.daemon());
        }
    },
    /** An engine or a service is killed and restarted. */
    KILL_BACKEND(Target.AGENT, true) {
        @Override
        void begin(FaultContext context) {
            context.backend().kill();
        }

        @Override
        void end(FaultContext context) {
            context.restart(context.backend());
        }
    },
    /** A backend server and its agent are killed together, as when their VM fails. */
    KILL_VM(Target.AGENT, true) {
        @Override
        void begin(FaultContext context) {
            context.daemon().kill();
            context.backend().kill();
        }

        @Override
        void end(FaultContext context) {
            context.backend().launch();
            context.restart(context.daemon());
        }
    },
    /** An entry is killed and restarted. */
    KILL_ENTRY(Target.ENTRY, true) {
        @Override
        void begin(FaultContext context) {
            context.daemon().kill();
        }

        @Override
        void end(FaultContext context) {
            context.restart(context.daemon());
        }
    },
    /** An agent is paused, possibly past its timeouts, and resumed. */
    FREEZE_AGENT(Target.AGENT, true) {
        @Override
        void begin(FaultContext context) {
            context.daemon().suspend();
        }

        @Override
        void end(FaultContext context) {
            context.daemon().resume();
        }
    },
    /** A backend server is paused and resumed. */
    FREEZE_BACKEND(Target.AGENT, true) {
        @Override
        void begin(FaultContext context) {
            context.backend().suspend();
        }

        @Override
        void end(FaultContext context) {
            context.backend().resume();
        }
    },
    /** An entry is paused and resumed. */
    FREEZE_ENTRY(Target.ENTRY, true) {
        @Override
        void begin(FaultContext context) {
            context.daemon().suspend();
        }

        @Override
        void end(FaultContext context) {
            context.daemon().resume();
        }
    },
    /** The open links of an agent stay open but carry no more data; new ones work. */
    SILENT_LINKS(Target.AGENT, false) {
        @Override
        void begin(FaultContext context) {
            context.member().relay().orElseThrow().silence();
        }
    },
    /** The links of an agent are closed, and new ones are refused until the fault ends. */
    CUT_LINKS(Target.AGENT, false) {
        @Override
        void begin(FaultContext context) {
            context.member().relay().orElseThrow().setRefusing(true);
            context.member().relay().orElseThrow().cut();
        }

        @Override
        void end(FaultContext context) {
            context.member().relay().orElseThrow().setRefusing(false);
        }
    },
    /** The log service refuses all requests. */
    LOG_OUTAGE(Target.LOG, false) {
        @Override
        void begin(FaultContext context) {
            context.setLogFaults(Map.of("outage", "true"));
        }

        @Override
        void end(FaultContext context) {
            context.setLogFaults(Map.of("outage", ""));
        }
    },
    /** Answers of the log service are lost after the records were stored. */
    LOG_LOSES_ANSWERS(Target.LOG, false) {
        @Override
        void begin(FaultContext context) {
            context.setLogFaults(Map.of("lose-answers", "5"));
        }

        @Override
        void end(FaultContext context) {
            context.setLogFaults(Map.of("lose-answers", ""));
        }
    },
    /** The log service answers slowly. */
    LOG_SLOW(Target.LOG, false) {
        @Override
        void begin(FaultContext context) {
            context.setLogFaults(Map.of("stall-millis", "700"));
        }

        @Override
        void end(FaultContext context) {
            context.setLogFaults(Map.of("stall-millis", ""));
        }
    },
    /** The VM list does not answer, so that the cached copies become stale. */
    VM_LIST_OUTAGE(Target.VM_LIST, false) {
        @Override
        void begin(FaultContext context) {
            context.setVmListFaults(Map.of("outage", "true"));
        }

        @Override
        void end(FaultContext context) {
            context.setVmListFaults(Map.of("outage", ""));
        }
    },
    /** Two operators edit one row at two entries at once. */
    RACING_EDITS(Target.TABLE, false) {
        @Override
        void begin(FaultContext context) {
            context.operators().editConcurrently();
        }
    },
    /** An agent is stopped as planned and replaced. */
    STOP_AGENT(Target.AGENT, false) {
        @Override
        void begin(FaultContext context) {
            context.daemon().terminate();
        }

        @Override
        void end(FaultContext context) {
            context.awaitPlannedEnd();
            context.restart(context.daemon());
        }
    },
    /** An entry is stopped as planned and replaced. */
    STOP_ENTRY(Target.ENTRY, false) {
        @Override
        void begin(FaultContext context) {
            context.daemon().terminate();
        }

        @Override
        void end(FaultContext context) {
            context.awaitPlannedEnd();
            context.restart(context.daemon());
        }
    };

    private final Target target;
    private final boolean crash;

    FaultKind(Target target, boolean crash) {
        this.target = target;
        this.crash = crash;
    }

    /** What it affects. */
    public Target target() {
        return target;
    }

    /** Whether a process is killed or paused, so that callers may get an unknown outcome or a cut connection. */
    public boolean isCrash() {
        return crash;
    }

    /** The name in the printed schedule. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    abstract void begin(FaultContext context);

    void end(FaultContext context) {}

    /** What a fault affects; a schedule has at most one fault at a time for each member of a target. */
    public enum Target {
        /** An agent with its backend server. */
        AGENT,
        /** An entry. */
        ENTRY,
        /** The log service. */
        LOG,
        /** The VM list. */
        VM_LIST,
        /** The table. */
        TABLE;

        boolean includes(Member member) {
            return this == (member.entry() ? ENTRY : AGENT);
        }
    }

    /** What a fault acts on. Safe for use by any thread while the fleet's members do not change. */
    record FaultContext(Fleet fleet, Member member, Operators operators, Violations violations) {

        ManagedProcess daemon() {
            return member.daemon();
        }

        ManagedProcess backend() {
            return member.backend().orElseThrow();
        }

        void setLogFaults(Map<String, String> switches) {
            fleet.setFaults(fleet.logUrl(), switches);
        }

        void setVmListFaults(Map<String, String> switches) {
            fleet.setFaults(fleet.vmListUrl(), switches);
        }

        /**
         * Restarts the process and waits until it is ready, so that the fault lasts until then also on a busy machine.
         */
        void restart(ManagedProcess process) {
            process.start();
        }

        /** Checks that the process exits by itself with status 0 after a planned stop. */
        void awaitPlannedEnd() {
            if (!daemon().awaitEnd(Duration.ofSeconds(70))) {
                violations.add("planned-stop", member.name() + " did not exit within 70 s; it is killed now");
                daemon().kill();
            } else if (daemon().exitCode() != 0) {
                violations.add("planned-stop", member.name() + " ended with status " + daemon().exitCode());
            }
        }
    }
}
