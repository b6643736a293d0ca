package org.cornelramp.daemon.report;

import org.cornelramp.core.settings.Role;
import org.cornelramp.daemon.kernel.Plugin;
import org.cornelramp.daemon.kernel.Registry;

/** Shares the recorder of requests and the status board. Stateless. */
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
        RequestMemory memory = new RequestMemory();
        BurnBook burn = new BurnBook();
        registry.share(RequestRecorder.class, new Recorder(memory, burn, registry.meters()));
        registry.share(RequestMemory.class, memory);
        registry.share(BurnBook.class, burn);
        registry.share(StatusBoard.class, new StatusBoard());
    }
}
