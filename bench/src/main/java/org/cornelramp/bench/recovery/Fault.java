package org.cornelramp.bench.recovery;

import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.Relay;

/** The injected faults, and how the fleet is restored after each. */
enum Fault {
    /** The agent of a plain service is killed. */
    KILLED_AGENT {
        @Override
        void inject(Fleet fleet) {
            fleet.services().get(0).daemon().kill();
        }

        @Override
        void end(Fleet fleet) {
            fleet.services().get(0).daemon().launch();
        }
    },
    /** The agent of a stage of running pipelines is killed. */
    KILLED_STAGE {
        @Override
        void inject(Fleet fleet) {
            fleet.stages().get(1).daemon().kill();
        }

        @Override
        void end(Fleet fleet) {
            fleet.stages().get(1).daemon().launch();
        }
    },
    /** An entry is killed; its callers go to another. */
    KILLED_ENTRY {
        @Override
        void inject(Fleet fleet) {
            fleet.entries().get(0).daemon().kill();
        }

        @Override
        void end(Fleet fleet) {
            fleet.entries().get(0).daemon().launch();
        }
    },
    /** All connections to a stage's agent stay open but carry no more data; new ones work. */
    SILENT_LINK {
        @Override
        void inject(Fleet fleet) {
            fleet.stages().get(2).relay().ifPresent(Relay::silence);
        }

        @Override
        void end(Fleet fleet) {}
    };

    /** Injects the fault. */
    abstract void inject(Fleet fleet);

    /** Ends the fault, without waiting for recovery. */
    abstract void end(Fleet fleet);

    /** Waits until all members are ready and all entries serve. */
    static void awaitRecovered(Fleet fleet) {
        fleet.members().forEach(member -> member.daemon().awaitReady());
        fleet.entries().forEach(fleet::awaitServing);
    }
}
