package org.cornelramp.bench.gateway;

import java.time.Duration;
import java.util.SplittableRandom;
import org.cornelramp.bench.gateway.Disturbances.Target;
import org.cornelramp.platform.standin.StandInBackend;
import org.cornelramp.platform.standin.StandInFleet;

/**
 * What may go wrong in a run, and how it is brought about from outside. Immutable, safe for use by any thread.
 *
 * <p>Faults overlap, also at one process. Those that start and end a process or a server's life take turns at it.
 */
enum GatewayFault {
    KILL(Target.PROCESS) {
        @Override
        void strike(Struck at) throws InterruptedException {
            SoakGateway gateway = at.gateway();
            synchronized (gateway) {
                gateway.process().kill();
                at.last();
                gateway.launch();
            }
        }
    },
    KILL_HALF(Target.PROCESS) {
        @Override
        boolean strikesAll() {
            return true;
        }

        @Override
        void strike(Struck at) throws InterruptedException {
            for (SoakGateway gateway : at.world().gateways()) {
                if (gateway.number() % 2 == 0) {
                    gateway.process().kill();
                }
            }
            at.last();
            for (SoakGateway gateway : at.world().gateways()) {
                synchronized (gateway) {
                    if (!gateway.process().isAlive()) {
                        gateway.launch();
                    }
                }
            }
        }
    },
    STOP(Target.STOP) {
        @Override
        void strike(Struck at) {
            SoakGateway gateway = at.gateway();
            synchronized (gateway) {
                gateway.process().terminate();
                if (!gateway.process().awaitEnd(Duration.ofSeconds(GatewayWorld.GRACE_SECONDS))) {
                    gateway.process().kill();
                }
                gateway.launch();
            }
        }
    },
    FREEZE(Target.PROCESS) {
        @Override
        void strike(Struck at) throws InterruptedException {
            at.gateway().process().freeze();
            at.last();
            at.gateway().process().wake();
        }
    },
    HANG_UP(Target.STOP) {
        @Override
        void strike(Struck at) {
            at.gateway().process().hangUp();
        }
    },
    RESET_CLIENTS(Target.CLIENTS) {
        @Override
        void strike(Struck at) {
            at.gateway().clients().cut();
        }
    },
    SILENCE_CLIENTS(Target.CLIENTS) {
        @Override
        void strike(Struck at) {
            at.gateway().clients().silence();
        }
    },
    CUT_STORE_LINK(Target.STORE) {
        @Override
        void strike(Struck at) throws InterruptedException {
            at.gateway().store().refuse(true);
            at.gateway().store().cut();
            at.last();
            at.gateway().store().refuse(false);
        }
    },
    SILENCE_STORE_LINK(Target.STORE) {
        @Override
        void strike(Struck at) {
            at.gateway().store().silence();
        }
    },
    ONE_WAY_STORE_LINK(Target.STORE) {
        @Override
        void strike(Struck at) throws InterruptedException {
            at.gateway().store().mute(true);
            at.last();
            at.gateway().store().mute(false);
            at.gateway().store().cut();
        }
    },
    STORE_REFUSES(Target.STORE) {
        @Override
        boolean strikesAll() {
            return true;
        }

        @Override
        void strike(Struck at) throws InterruptedException {
            at.world().store().setUnavailable(true);
            at.last();
            at.world().store().setUnavailable(false);
        }
    },
    STORE_SLOW(Target.STORE) {
        @Override
        boolean strikesAll() {
            return true;
        }

        @Override
        void strike(Struck at) throws InterruptedException {
            at.world().store().setDelayMillis(200 + at.draw(400));
            at.last();
            at.world().store().setDelayMillis(0);
        }
    },
    STORE_LOSES_ANSWERS(Target.STORE) {
        @Override
        boolean strikesAll() {
            return true;
        }

        @Override
        void strike(Struck at) throws InterruptedException {
            at.world().store().setDropsAnswers(true);
            at.last();
            at.world().store().setDropsAnswers(false);
        }
    },
    CONFIG_STORM(Target.BACKEND) {
        @Override
        void strike(Struck at) throws InterruptedException {
            for (int i = 0; i < STORM; i++) {
                at.world().versions().publishNext(StandInFleet.nowMillis());
                Thread.sleep(STORM_GAP_MILLIS);
            }
        }
    },
    BACKEND_DIES(Target.BACKEND) {
        @Override
        void strike(Struck at) throws InterruptedException {
            synchronized (at.backend()) {
                StandInBackend server = at.backend().server();
                at.backend().relay().refuse(true);
                server.crash();
                at.backend().relay().cut();
                Thread.sleep(LAPSE_MILLIS);
                server.unregister();
                at.last();
                at.backend().relay().refuse(false);
                server.startIncarnation();
            }
        }
    },
    BACKEND_DARK(Target.BACKEND) {
        @Override
        void strike(Struck at) throws InterruptedException {
            at.backend().relay().darken(true);
            at.last();
            at.backend().relay().darken(false);
            at.backend().relay().cut();
        }
    },
    BACKEND_LEAVES(Target.BACKEND) {
        @Override
        void strike(Struck at) throws InterruptedException {
            synchronized (at.backend()) {
                StandInBackend server = at.backend().server();
                server.registerLeaving();
                Thread.sleep(GatewayWorld.DRAIN_MILLIS + at.draw(LAPSE_MILLIS));
                server.unregister();
                Thread.sleep(at.draw(LAPSE_MILLIS));
                server.crash();
                at.backend().relay().cut();
                server.startIncarnation();
            }
        }
    },
    BACKEND_SLOW(Target.BACKEND) {
        @Override
        void strike(Struck at) throws InterruptedException {
            at.backend().server().setSlowdown(2 + at.draw(4));
            at.last();
            at.backend().server().setSlowdown(1);
        }
    },
    BACKEND_FAILS(Target.BACKEND) {
        @Override
        void strike(Struck at) throws InterruptedException {
            at.backend().server().setFailureRate(0.5);
            at.last();
            at.backend().server().setFailureRate(0);
        }
    },
    BACKEND_LOSES_ANSWERS(Target.BACKEND) {
        @Override
        void strike(Struck at) throws InterruptedException {
            at.backend().server().setAnswerLossRate(0.3);
            at.last();
            at.backend().server().setAnswerLossRate(0);
        }
    },
    BACKEND_SILENCED(Target.BACKEND) {
        @Override
        void strike(Struck at) {
            at.backend().relay().silence();
        }
    },
    BACKEND_RESET(Target.BACKEND) {
        @Override
        void strike(Struck at) {
            at.backend().relay().cut();
        }
    },
    BACKEND_DELAYED(Target.BACKEND) {
        @Override
        void strike(Struck at) throws InterruptedException {
            at.backend().relay().delay(20 + at.draw(100));
            at.last();
            at.backend().relay().delay(0);
        }
    },
    STRAY_ANSWER(Target.BACKEND) {
        @Override
        void strike(Struck at) {
            at.backend().relay().strayAfterNext(StandInBackend.strayAnswer());
        }
    };

    private static final int STORM = 8;
    private static final long STORM_GAP_MILLIS = 150;

    /** A registration lapses after three heartbeats of 1.2 s without one. */
    private static final int LAPSE_MILLIS = 3_600;

    private final Target target;

    GatewayFault(Target target) {
        this.target = target;
    }

    /** What it strikes. */
    Target target() {
        return target;
    }

    /** Whether it strikes every gateway at once. */
    boolean strikesAll() {
        return false;
    }

    /** Brings it about, waits, and ends it. */
    abstract void strike(Struck at) throws InterruptedException;

    /**
     * One fault of a run. Immutable but for its draws, which belong to the thread of the fault.
     *
     * @param fault what happens
     * @param world where
     * @param member index of the gateway or of the backend server that it strikes, whichever it is
     * @param atMillis when, from the start of the load
     * @param lastsMillis for how long, where it lasts
     * @param random draws of this fault alone
     */
    record Struck(
            GatewayFault fault,
            GatewayWorld world,
            int member,
            long atMillis,
            long lastsMillis,
            SplittableRandom random) {

        SoakGateway gateway() {
            return world.gateways().get(member % world.gateways().size());
        }

        SoakBackend backend() {
            return world.backends().get(member % world.backends().size());
        }

        int draw(int bound) {
            return random.nextInt(bound);
        }

        /** Waits for as long as the fault lasts. */
        void last() throws InterruptedException {
            Thread.sleep(lastsMillis);
        }

        /** Number of the gateway that it strikes, for the checks. */
        int gatewayNumber() {
            boolean all = fault.strikesAll() || fault.target() == Target.BACKEND;
            return all ? Disturbances.ALL : gateway().number();
        }

        @Override
        public String toString() {
            String where = fault.target() == Target.BACKEND
                    ? backend().server().name()
                    : fault.strikesAll() ? "all" : gateway().name();
            return "at=" + atMillis + "ms lasts=" + lastsMillis + "ms fault=" + fault + " at " + where;
        }
    }
}
