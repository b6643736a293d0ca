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
 * Reads the VM list at an interval and keeps links to the agents that it shows.
 *
 * <p>Confined to the router's thread. A list that cannot be read changes nothing: what is known stays.
 */
final class VmListReader {
    private static final System.Logger LOG = System.getLogger(VmListReader.class.getName());

    private final VmListClient client;
    private final Duration interval;
    private final Router router;
    private final Agents agentsKnown;
    private final LinkLoop links;
    private Instant nextAt = Instant.MIN;
    private CompletableFuture<VmList> pending = CompletableFuture.completedFuture(null);
    private boolean failing;

    VmListReader(VmListClient client, Duration interval, Router router, Agents agents, LinkLoop links) {
        this.client = client;
        this.interval = interval;
        this.router = router;
        this.agentsKnown = agents;
        this.links = links;
    }

    /** Starts a read when one is due. */
    void tick(Instant now) {
        if (!pending.isDone() || now.isBefore(nextAt)) {
            return;
        }
        nextAt = now.plus(interval);
        Instant askedAt = now;
        pending = client.list();
        router.whenDone(pending, (list, failure, readAt) -> took(list, failure, askedAt, readAt));
    }

    /** Asks for a read soon, since something waits for one that begins after now. */
    void readSoon() {
        nextAt = Instant.MIN;
    }

    private void took(VmList list, Throwable failure, Instant askedAt, Instant readAt) {
        if (failure != null) {
            if (!failing) {
                LOG.log(System.Logger.Level.WARNING, "entry: the VM list cannot be read; why=" + failure.getMessage());
            }
            failing = true;
            return;
        }
        failing = false;
        List<ListedAgent> agents = list.vms().stream()
                .filter(vm -> vm.role() == Role.AGENT)
                .map(VmListReader::listed)
                .toList();
        Set<BackendServerId> names = agents.stream().map(ListedAgent::server).collect(Collectors.toSet());
        agentsKnown.lives().updateList(askedAt, names, readAt);
        Membership.LinkChange change = agentsKnown.membership().updateList(agents);
        change.forget().forEach(address -> links.forget(HostPort.parse(address)));
        change.keep().forEach(address -> links.keep(HostPort.parse(address)));
    }

    private static ListedAgent listed(VmList.Vm vm) {
        boolean leaving = vm.state() == VmList.State.LEAVING;
        return new ListedAgent(new BackendServerId(vm.vm()), vm.address().toString(), leaving);
    }
}
