package org.cornelramp.bench.soak;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.ManagedProcess;
import org.cornelramp.bench.fleet.Member;

/** The faults that a run draws from. Each knows what it strikes, how it begins and how it ends. */
public enum FaultKind {
    /** An agent dies and comes back with an empty memory. */
    KILL_AGENT(Target.AGENT, true) {
        @Override
        void begin(FaultContext c) {
            c.daemon().kill();
        }

        @Override
        void end(FaultContext c) {
            c.restart(c.daemon());
        }
    },
    /** An engine or a service dies and comes back. */
    KILL_BACKEND(Target.AGENT, true) {
        @Override
        void begin(FaultContext c) {
            c.backend().kill();
        }

        @Override
        void end(FaultContext c) {
            c.restart(c.backend());
        }
    },
    /** A backend server and its agent die together, as their VM does. */
    KILL_VM(Target.AGENT, true) {
        @Override
        void begin(FaultContext c) {
            c.daemon().kill();
            c.backend().kill();
        }

        @Override
        void end(FaultContext c) {
            c.backend().launch();
            c.restart(c.daemon());
        }
    },
    /** An entry dies and comes back. */
    KILL_ENTRY(Target.ENTRY, true) {
        @Override
        void begin(FaultContext c) {
            c.daemon().kill();
        }

        @Override
        void end(FaultContext c) {
            c.restart(c.daemon());
        }
    },
    /** An agent is paused past its timeouts and wakes. */
    FREEZE_AGENT(Target.AGENT, true) {
        @Override
        void begin(FaultContext c) {
            c.daemon().freeze();
        }

        @Override
        void end(FaultContext c) {
            c.daemon().wake();
        }
    },
    /** A backend server is paused and wakes. */
    FREEZE_BACKEND(Target.AGENT, true) {
        @Override
        void begin(FaultContext c) {
            c.backend().freeze();
        }

        @Override
        void end(FaultContext c) {
            c.backend().wake();
        }
    },
    /** An entry is paused and wakes. */
    FREEZE_ENTRY(Target.ENTRY, true) {
        @Override
        void begin(FaultContext c) {
            c.daemon().freeze();
        }

        @Override
        void end(FaultContext c) {
            c.daemon().wake();
        }
    },
    /** The open links of an agent go silent for good, while new ones work. */
    SILENT_LINKS(Target.AGENT, false) {
        @Override
        void begin(FaultContext c) {
            c.member().relay().orElseThrow().silence();
        }
    },
    /** The links of an agent are cut, and new ones refused for a while. */
    CUT_LINKS(Target.AGENT, false) {
        @Override
        void begin(FaultContext c) {
            c.member().relay().orElseThrow().refuse(true);
            c.member().relay().orElseThrow().cut();
        }

        @Override
        void end(FaultContext c) {
            c.member().relay().orElseThrow().refuse(false);
        }
    },
    /** The log service refuses everything. */
    LOG_OUTAGE(Target.LOG, false) {
        @Override
        void begin(FaultContext c) {
            c.log(Map.of("outage", "true"));
        }

        @Override
        void end(FaultContext c) {
            c.log(Map.of("outage", ""));
        }
    },
    /** Answers of the log service are lost after the records were kept. */
    LOG_LOSES_ANSWERS(Target.LOG, false) {
        @Override
        void begin(FaultContext c) {
            c.log(Map.of("lose-answers", "5"));
        }

        @Override
        void end(FaultContext c) {
            c.log(Map.of("lose-answers", ""));
        }
    },
    /** The log service takes its time. */
    LOG_SLOW(Target.LOG, false) {
        @Override
        void begin(FaultContext c) {
            c.log(Map.of("stall-millis", "700"));
        }

        @Override
        void end(FaultContext c) {
            c.log(Map.of("stall-millis", ""));
        }
    },
    /** The VM list does not answer, so that what is known of it grows old. */
    VM_LIST_OUTAGE(Target.VM_LIST, false) {
        @Override
        void begin(FaultContext c) {
            c.vmList(Map.of("outage", "true"));
        }

        @Override
        void end(FaultContext c) {
            c.vmList(Map.of("outage", ""));
        }
    },
    /** Two operators edit one row at two entries at once. */
    RACING_EDITS(Target.TABLE, false) {
        @Override
        void begin(FaultContext c) {
            c.operators().race();
        }
    },
    /** An agent is stopped as planned and replaced. */
    STOP_AGENT(Target.AGENT, false) {
        @Override
        void begin(FaultContext c) {
            c.daemon().terminate();
        }

        @Override
        void end(FaultContext c) {
            c.awaitPlannedEnd();
            c.restart(c.daemon());
        }
    },
    /** An entry is stopped as planned and replaced. */
    STOP_ENTRY(Target.ENTRY, false) {
        @Override
        void begin(FaultContext c) {
            c.daemon().terminate();
        }

        @Override
        void end(FaultContext c) {
            c.awaitPlannedEnd();
            c.restart(c.daemon());
        }
    };

    private final Target target;
    private final boolean crash;

    FaultKind(Target target, boolean crash) {
        this.target = target;
        this.crash = crash;
    }

    /** What it strikes. */
    public Target target() {
        return target;
    }

    /** Whether a process dies or pauses, so that callers may be left without the truth or cut off. */
    public boolean isCrash() {
        return crash;
    }

    /** The form that traces carry. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    abstract void begin(FaultContext c);

    void end(FaultContext c) {}

    /** What a fault strikes; of each, one fault at a time. */
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

        boolean takes(Member member) {
            return this == (member.entry() ? ENTRY : AGENT);
        }
    }

    /** What a fault has at hand. Safe for use by any thread, if the fleet's members do not change. */
    record FaultContext(Fleet fleet, Member member, Operators operators, Violations violations) {

        ManagedProcess daemon() {
            return member.daemon();
        }

        ManagedProcess backend() {
            return member.backend().orElseThrow();
        }

        void log(Map<String, String> switches) {
            fleet.faults(fleet.logUrl(), switches);
        }

        void vmList(Map<String, String> switches) {
            fleet.faults(fleet.vmListUrl(), switches);
        }

        /** A fault lasts until its process is back and ready, however long a busy machine takes to start it. */
        void restart(ManagedProcess process) {
            process.start();
        }

        /** A planned stop ends by itself, with status 0. */
        void awaitPlannedEnd() {
            if (!daemon().awaitEnd(Duration.ofSeconds(70))) {
                violations.add("planned-stop", member.name() + " did not end; it is killed now");
                daemon().kill();
            } else if (daemon().exitCode() != 0) {
                violations.add("planned-stop", member.name() + " ended with status " + daemon().exitCode());
            }
        }
    }
}
