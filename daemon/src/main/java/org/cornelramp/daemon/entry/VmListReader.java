package org.cornelramp.daemon.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.cornelramp.core.member.ListedAgent;
import org.cornelramp.core.member.Membership;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.core.settings.Role;
import org.cornelramp.ports.VmList;
import org.cornelramp.ports.VmListClient;
import org.cornelramp.wire.link.LinkLoop;

/**
 * Reads the VM list at an interval and maintains links to the agents on it.
 *
 * <p>Confined to the router's thread. If the list cannot be read, the known agents and links stay unchanged.
 */
final class VmListReader {
    private static final System.Logger LOG = System.getLogger(VmListReader.class.getName());

    private final VmListClient client;
    private final Duration interval;
    private final Router router;
    private final AgentRegistry knownAgents;
    private final LinkLoop links;
    private Instant nextAt = Instant.MIN;
    private CompletableFuture<VmList> pending = CompletableFuture.completedFuture(null);
    private boolean readsFail;

    VmListReader(VmListClient client, Duration interval, Router router, AgentRegistry knownAgents, LinkLoop links) {
        this.client = client;
        this.interval = interval;
        this.router = router;
        this.knownAgents = knownAgents;
        this.links = links;
    }

    /** Starts a read when one is due. */
    void tick(Instant now) {
        if (!pending.isDone() || now.isBefore(nextAt)) {
            return;
        }
        nextAt = now.plus(interval);
        Instant requestedAt = now;
        pending = client.list();
        router.whenDone(pending, (list, failure, readAt) -> handleList(list, failure, requestedAt, readAt));
    }

    /** Schedules a read for the next tick, for a caller that needs a list read after this moment. */
    void readSoon() {
        nextAt = Instant.MIN;
    }

    private void handleList(VmList list, Throwable failure, Instant requestedAt, Instant readAt) {
        if (failure != null) {
            if (!readsFail) {
                LOG.log(System.Logger.Level.WARNING, "entry: the VM list cannot be read; why=" + failure.getMessage());
            }
            readsFail = true;
            return;
        }
        readsFail = false;
        List<ListedAgent> agents = list.vms().stream()
                .filter(vm -> vm.role() == Role.AGENT)
                .map(VmListReader::listed)
                .toList();
        Set<BackendServerId> names = agents.stream().map(ListedAgent::server).collect(Collectors.toSet());
        knownAgents.history().updateList(requestedAt, names, readAt);
        Membership.LinkChange change = knownAgents.membership().updateList(agents);
        change.forget().forEach(address -> links.disconnect(HostPort.parse(address)));
        change.keep().forEach(address -> links.keepConnected(HostPort.parse(address)));
    }

    private static ListedAgent listed(VmList.Vm vm) {
        boolean leaving = vm.state() == VmList.State.LEAVING;
        return new ListedAgent(new BackendServerId(vm.vm()), vm.address().toString(), leaving);
    }
}
