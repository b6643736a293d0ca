package org.cornelramp.gateway.route;

import java.util.List;
import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.path.PathFinder;
import org.cornelramp.core.path.PrefixAffinity;
import org.cornelramp.core.path.PrefixAffinity.Choice;
import org.cornelramp.core.path.PromptHolders;
import org.cornelramp.core.path.PromptPrefix;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.core.routing.EngineSpec;
import org.cornelramp.core.settings.GatewaySettings;

/**
 * Prefers engines that hold the beginning of a request's prompt, and tracks what the requests hold. Confined to the
 * router's thread.
 *
 * <p>Invariant: while the settings turn it off, nothing is tracked and every path stays as it was found.
 */
final class PromptPrefixUse {
    private final FleetState fleet;
    private final PoisonGuard poisonGuard;
    private final RoutingLog routingLog;

    PromptPrefixUse(GatewaySettings settings, FleetState fleet, PoisonGuard poisonGuard, RoutingLog routingLog) {
        this.fleet = fleet;
        this.poisonGuard = poisonGuard;
        this.routingLog = routingLog;
        if (settings.promptPrefix().enabled()) {
            fleet.trackPromptHolders(new PromptHolders(settings.promptPrefix().maxTrackedParts()));
        }
    }

    /**
     * The choice between the path that was found by load and a better one whose engines hold the beginning of the prompt;
     * empty if the request does not take part. Changes no state.
     */
    Optional<Choice> choose(
            ActiveRequest request,
            StagePath byLoad,
            EngineSpec spec,
            List<BackendServer> usable,
            PathFinder.Demand demand,
            long now) {
        Optional<PromptHolders> holders = fleet.promptHolders().filter(tracked -> tracked.size() > 0);
        // A suspect runs apart from other suspects, which its path provides for.
        if (holders.isEmpty() || poisonGuard.isSuspect(request, now)) {
            return Optional.empty();
        }
        PromptPrefix prefix = prefix(request, now);
        return prefix.levels() == 0
                ? Optional.empty()
                : Optional.of(PrefixAffinity.choose(
                        byLoad, new PrefixAffinity.Inputs(spec, usable, fleet.loads(), demand, prefix, holders.get())));
    }

    /** Logs and counts that a request is sent to engines that hold the beginning of its prompt. */
    void logUse(ActiveRequest request, StagePath byLoad, Choice choice, long now) {
        if (choice.savedTokens() > 0) {
            boolean changed = !choice.path().equals(byLoad);
            long oldestMillis = fleet.promptHolders()
                    .map(holders -> holders.oldestAgeMillis(now))
                    .orElse(0L);
            routingLog.promptPrefixHeld(request, choice, changed, oldestMillis);
        }
    }

    private PromptPrefix prefix(ActiveRequest request, long now) {
        return PromptPrefix.of(poisonGuard.soundBeginning(request.sharedPrompt(), now));
    }

    /** Records that the engines of a request's path have read its prompt, and hold it from now on. */
    void recordRead(ActiveRequest request, long now) {
        if (fleet.promptHolders().isEmpty() || request.loadedPath() == null) {
            return;
        }
        release(request);
        PromptPrefix prefix = prefix(request, now);
        if (prefix.levels() > 0) {
            request.setHeldPrefix(fleet.promptHolders().map(holders -> holders.hold(prefix, request.loadedPath())));
        }
    }

    /**
     * Records that the run of a request has ended or has moved. A moved request counts as holding nothing: the engines
     * that are new in its path read its prompt again, and nothing reports when they have.
     */
    void release(ActiveRequest request) {
        request.heldPrefix().ifPresent(hold -> fleet.promptHolders().ifPresent(holders -> holders.release(hold)));
        request.setHeldPrefix(Optional.empty());
    }
}
