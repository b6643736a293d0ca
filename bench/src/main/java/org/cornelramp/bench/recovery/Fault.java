package org.cornelramp.bench.recovery;

import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.Relay;

/** The faults that are brought about, and how the fleet is made whole again after each. */
enum Fault {
    /** An agent beside a plain service dies. */
    KILLED_AGENT {
        @Override
        void strike(Fleet fleet) {
            fleet.services().get(0).daemon().kill();
        }

        @Override
        void mend(Fleet fleet) {
            fleet.services().get(0).daemon().launch();
        }
    },
    /** An agent that holds a stage of running pipelines dies. */
    KILLED_STAGE {
        @Override
        void strike(Fleet fleet) {
            fleet.stages().get(1).daemon().kill();
        }

        @Override
        void mend(Fleet fleet) {
            fleet.stages().get(1).daemon().launch();
        }
    },
    /** An entry dies; its callers go to another. */
    KILLED_ENTRY {
        @Override
        void strike(Fleet fleet) {
            fleet.entries().get(0).daemon().kill();
        }

        @Override
        void mend(Fleet fleet) {
            fleet.entries().get(0).daemon().launch();
        }
    },
    /** All connections to a stage's agent go silent, while new ones work. */
    SILENT_LINK {
        @Override
        void strike(Fleet fleet) {
            fleet.stages().get(2).relay().ifPresent(Relay::silence);
        }

        @Override
        void mend(Fleet fleet) {}
    };

    /** Brings the fault about. */
    abstract void strike(Fleet fleet);

    /** Undoes it, without waiting. */
    abstract void mend(Fleet fleet);

    /** Waits until every member is there again. */
    static void awaitWhole(Fleet fleet) {
        fleet.members().forEach(member -> member.daemon().awaitReady());
        fleet.entries().forEach(fleet::awaitServing);
    }
}
