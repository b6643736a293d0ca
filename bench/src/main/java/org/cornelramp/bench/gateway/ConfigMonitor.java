package org.cornelramp.bench.gateway;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.CompletionException;
import org.cornelramp.bench.gateway.Disturbances.Target;
import org.cornelramp.bench.soak.Violations;
import org.cornelramp.platform.standin.StandInCaller;
import org.cornelramp.platform.standin.StandInFleet;

/**
 * Asks one gateway again and again which version it goes by: within one life never an older one than before, and the
 * newest soon after it was published. Owned by its thread.
 */
final class ConfigWatch implements Runnable {
    /** Bound of the users' deployments, and a second for a busy machine. */
    private static final long APPLY_MILLIS = 3_000;

    /** Calm before a bound holds again, as on the users' deployments. */
    private static final long STABLE_MILLIS = 3_000;

    private static final long PAUSE_MILLIS = 150;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final long DEADLINE_MILLIS = 1_500;
    private static final Set<Target> STRIKING = EnumSet.of(Target.PROCESS, Target.STOP, Target.STORE);

    private final SoakGateway gateway;
    private final GatewayWorld world;
    private final Violations violations;
    private final StandInCaller caller = new StandInCaller();
    private volatile boolean over;
    private int life;
    private int seen;
    private int number;

    ConfigWatch(SoakGateway gateway, GatewayWorld world, Violations violations) {
        this.gateway = gateway;
        this.world = world;
        this.violations = violations;
    }

    /** Lets {@link #run} return. */
    void end() {
        over = true;
    }

    @Override
    public void run() {
        try {
            while (!over) {
                look();
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void look() {
        int lifeBefore = gateway.lives();
        if (lifeBefore != life) {
            life = lifeBefore;
            seen = 0;
        }
        ConfigVersions.Newest newest = world.versions().newest();
        long asked = StandInFleet.nowMillis();
        int status = ask(newest.version());
        boolean sameLife = gateway.lives() == lifeBefore;
        if (status == OK && sameLife) {
            seen = Math.max(seen, newest.version());
        }
        boolean calm = !world.disturbances()
                .struck(STRIKING, gateway.number(), newest.publishedMillis() - STABLE_MILLIS, StandInFleet.nowMillis());
        if (status == NOT_FOUND && calm && asked - newest.publishedMillis() > APPLY_MILLIS) {
            violations.add(
                    "configuration",
                    gateway.name() + " does not know version " + newest.version() + " after "
                            + (asked - newest.publishedMillis()) + " ms");
        }
        int older = seen - 1;
        if (older > 0 && sameLife && ask(older) == OK && gateway.lives() == lifeBefore) {
            violations.add("configuration", gateway.name() + " serves version " + older + " after " + seen);
        }
    }

    private int ask(int version) {
        String id = "mark-" + gateway.name() + "-" + version + "-" + number++;
        try {
            return caller.send(gateway.direct(), ConfigVersions.mark(version), id, DEADLINE_MILLIS)
                    .join()
                    .status();
        } catch (CompletionException e) {
            return 0; // no answer tells nothing of the version
        }
    }
}
