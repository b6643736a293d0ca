package org.cornelramp.daemon.table;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.cornelramp.core.settings.Role;
import org.cornelramp.daemon.http.Readiness;
import org.cornelramp.daemon.kernel.Plugin;
import org.cornelramp.daemon.kernel.Registry;
import org.cornelramp.daemon.report.StatusSections;
import org.cornelramp.ports.LogClient;

/** Shares the table in force: an entry reads it from the log, an agent receives it from entries. Stateless. */
public final class TablePlugin implements Plugin {

    @Override
    public String name() {
        return "table";
    }

    @Override
    public int order() {
        return 14;
    }

    @Override
    public boolean servesRole(Role role) {
        return true;
    }

    @Override
    public void register(Registry registry) {
        TableKeeper keeper = new TableKeeper();
        TableMeters meters = new TableMeters(registry.meters(), keeper);
        registry.share(TableSource.class, keeper);
        registry.share(TableKeeper.class, keeper);
        Supplier<String> logFault = registry.settings().role() == Role.ENTRY
                ? follow(registry, keeper, meters)
                : () -> "no entry has sent one yet";
        registry.require(Readiness.class)
                .add("table", () -> keeper.isReady() ? Optional.empty() : fault(logFault.get()));
    }

    private static Supplier<String> follow(Registry registry, TableKeeper keeper, TableMeters meters) {
        TableFollower follower = new TableFollower(
                registry.require(LogClient.class),
                keeper,
                meters,
                registry.clock(),
                registry.settings().name(),
                Duration.ofMillis(registry.settings().timing().snapshotMillis()));
        registry.require(StatusSections.class).add("log", follower::status);
        registry.add(follower);
        return follower::logFault;
    }

    private static Optional<String> fault(String logFault) {
        return Optional.of("No table has been received yet, neither from the log nor from a peer; why=" + logFault);
    }
}
