package org.cornelramp.daemon.report;

import org.cornelramp.core.settings.Role;
import org.cornelramp.daemon.kernel.Plugin;
import org.cornelramp.daemon.kernel.Registry;

/** Creates and shares the recorder of requests, its counters, and the {@link StatusSections}. Stateless. */
public final class ReportPlugin implements Plugin {

    @Override
    public String name() {
        return "report";
    }

    @Override
    public int order() {
        return 12;
    }

    @Override
    public boolean servesRole(Role role) {
        return true;
    }

    @Override
    public void register(Registry registry) {
        RequestDecisionLog decisions = new RequestDecisionLog();
        BurnCounters burnCounters = new BurnCounters();
        registry.share(RequestRecorder.class, new MeteringRequestRecorder(decisions, burnCounters, registry.meters()));
        registry.share(RequestDecisionLog.class, decisions);
        registry.share(BurnCounters.class, burnCounters);
        registry.share(StatusSections.class, new StatusSections());
    }
}
