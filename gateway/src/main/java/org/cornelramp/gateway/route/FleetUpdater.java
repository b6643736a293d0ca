package org.cornelramp.gateway.route;

import java.util.function.Consumer;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.gateway.log.EventLog;

/** Keeps the known state of the backend servers up to date. Confined to the router's thread. */
final class FleetUpdater {
    private final FleetState fleet;
    private final AsyncEngineControl engineControl;
    private final EventLog log;
    private final Consumer<RouterEvent> events;
    private boolean storeAvailable;

    /** @param events receives the reports of engines as events */
    FleetUpdater(FleetState fleet, AsyncEngineControl engineControl, EventLog log, Consumer<RouterEvent> events) {
        this.fleet = fleet;
        this.engineControl = engineControl;
        this.log = log;
        this.events = events;
    }

    /** Applies registration records. */
    void handleRegistrations(RouterEvent.RegistrationsRead registered, long now) {
        FleetState.RegistrationEffect effect = fleet.applyRegistrations(registered, now);
        if (effect != FleetState.RegistrationEffect.UNCHANGED) {
            log.line("fleet", effect == FleetState.RegistrationEffect.RESTORED ? "restored" : "changed")
                    .with("end", registered.end())
                    .with("era", registered.era())
                    .with("servers", fleet.registry().servers().size())
                    .with("leaving", fleet.leavingCount())
                    .write();
            fleet.removeUnregistered(now);
        }
    }

    /** Records whether the store answers. */
    void storeAvailable(boolean answers, long now) {
        if (answers != storeAvailable) {
            storeAvailable = answers;
            log.line("store", answers ? "regained" : "lost").write();
        }
        fleet.setStoreAvailable(answers, now);
    }

    /** Probes the suspected engines whose exclusion is about to end. */
    void probeSuspects(long now) {
        for (BackendServerId id : fleet.suspectedServers().dueForProbe(now)) {
            fleet.registry()
                    .server(id)
                    .filter(server -> !server.card().isEmpty())
                    .ifPresent(server -> engineControl.requestReport(server, events));
        }
    }

    /** Removes the registrations that have expired. */
    void expireRegistrations(long now) {
        if (fleet.registry().expire(now)) {
            fleet.removeUnregistered(now);
        }
    }
}
