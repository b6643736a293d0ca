package org.cornelramp.bench.gateway;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.CompletionException;
import org.cornelramp.bench.gateway.FaultHistory.Target;
import org.cornelramp.bench.soak.Violations;
import org.cornelramp.platform.standin.StandInCaller;
import org.cornelramp.platform.standin.StandInFleet;

/**
 * Polls one gateway for the configuration version that it applies. From one start of its process to the next, the
 * version must never go back, and the newest must be applied soon after it was published. Confined to its thread, but
 * for {@link #stop}.
 */
final class ConfigMonitor implements Runnable {
    /** Bound on the users' deployments. */
    private static final long MAX_APPLY_MILLIS = 2_000;

    /** Time without a fault after which the bound applies again, as on the users' deployments. */
    private static final long STABLE_MILLIS = 3_000;

    private static final long POLL_MILLIS = 150;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final long DEADLINE_MILLIS = 1_500;
    private static final Set<Target> RELEVANT_TARGETS = EnumSet.of(Target.PROCESS, Target.STOP, Target.STORE);

    private final SoakGateway gateway;
    private final GatewayEnvironment environment;
    private final Violations violations;
    private final StandInCaller caller = new StandInCaller();
    private volatile boolean stopped;
    private int startCount;
    private int newestApplied;
    private int requestCount;

    ConfigMonitor(SoakGateway gateway, GatewayEnvironment environment, Violations violations) {
        this.gateway = gateway;
        this.environment = environment;
        this.violations = violations;
    }

    /** Makes {@link #run} return; may be called from any thread. */
    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        try {
            while (!stopped) {
                check();
                Thread.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void check() {
        int startCountBefore = gateway.startCount();
        if (startCountBefore != startCount) {
            startCount = startCountBefore;
            newestApplied = 0;
        }
        ConfigVersions.Newest newest = environment.versions().newest();
        long askedMillis = StandInFleet.nowMillis();
        int status = requestStatus(newest.version());
        boolean notRestarted = gateway.startCount() == startCountBefore;
        if (status == OK && notRestarted) {
            newestApplied = Math.max(newestApplied, newest.version());
        }
        boolean undisturbed = !environment
                .faultHistory()
                .isAffected(
                        RELEVANT_TARGETS,
                        gateway.number(),
                        newest.publishedMillis() - STABLE_MILLIS,
                        StandInFleet.nowMillis());
        if (status == NOT_FOUND && undisturbed && askedMillis - newest.publishedMillis() > MAX_APPLY_MILLIS) {
            violations.add(
                    "configuration",
                    gateway.name() + " does not know version " + newest.version() + " after "
                            + (askedMillis - newest.publishedMillis()) + " ms");
        }
        int older = newestApplied - 1;
        if (older > 0 && notRestarted && requestStatus(older) == OK && gateway.startCount() == startCountBefore) {
            violations.add("configuration", gateway.name() + " serves version " + older + " after " + newestApplied);
        }
    }

    private int requestStatus(int version) {
        String id = "mark-" + gateway.name() + "-" + version + "-" + requestCount++;
        try {
            return caller.send(gateway.directAddress(), ConfigVersions.versionPath(version), id, DEADLINE_MILLIS)
                    .join()
                    .status();
        } catch (CompletionException e) {
            return 0; // without an answer, the version is not known
        }
    }
}
