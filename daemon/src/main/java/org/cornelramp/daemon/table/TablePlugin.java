package org.cornelramp.daemon.table;

import io.micrometer.core.instrument.Gauge;
import java.util.Optional;
import org.cornelramp.core.settings.Role;
import org.cornelramp.daemon.http.Readiness;
import org.cornelramp.daemon.kernel.Plugin;
import org.cornelramp.daemon.kernel.Registry;
import org.cornelramp.platform.LogClient;

/** Shares the table in force: an entry follows it on the log, an agent takes what entries relay. Stateless. */
public final class TablePlugin implements Plugin {

    @Override
    public String name() {
        return "table";
    }

    @Override
    public int order() {
        return 10;
    }

    @Override
    public boolean servesRole(Role role) {
        return true;
    }

    @Override
    public void register(Registry registry) {
        TableKeeper keeper = new TableKeeper();
        registry.share(TableSource.class, keeper);
        registry.share(TableKeeper.class, keeper);
        Gauge.builder("cornelramp.table.offset", keeper, source -> source.folded()
                        .offset())
                .register(registry.meters());
        if (registry.settings().role() == Role.ENTRY) {
            registry.add(new TableFollower(registry.need(LogClient.class), keeper));
        }
        registry.need(Readiness.class)
                .add(
                        "table",
                        () -> keeper.isReady()
                                ? Optional.empty()
                                : Optional.of("No table is known yet, neither from the log nor from a peer."));
    }
}
