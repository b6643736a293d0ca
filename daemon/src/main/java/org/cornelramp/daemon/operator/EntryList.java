package org.cornelramp.daemon.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cornelramp.core.operate.AppliedDocument.PeerEntry;
import org.cornelramp.core.settings.Role;
import org.cornelramp.ports.VmList;
import org.cornelramp.ports.VmListClient;

/** The entries that the VM list shows as live. Waits for the VM list; confined to the operators' event loop. */
final class EntryList {
    private static final long ANSWER_TIMEOUT_MILLIS = 3_000;

    private final VmListClient vms;

    EntryList(VmListClient vms) {
        this.vms = vms;
    }

    /**
     * Returns the VM list as a section of the status document; only {@code reachable} with false if it cannot be read.
     */
    ObjectNode status() throws InterruptedException {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        try {
            VmList list = vms.list().get(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            node.put("reachable", true);
            node.put("at", list.at());
            for (VmList.Vm vm : list.vms()) {
                node.putObject(vm.vm())
                        .put("role", vm.role().name().toLowerCase(Locale.ROOT))
                        .put("state", vm.state().name().toLowerCase(Locale.ROOT))
                        .put("address", vm.address().toString())
                        .put("dataCentre", vm.dataCentre().value());
            }
        } catch (ExecutionException | TimeoutException e) {
            node.put("reachable", false);
        }
        return node;
    }

    /** Returns the live entries; empty if the VM list cannot be read. */
    List<PeerEntry> live() throws InterruptedException {
        try {
            return vms.list().get(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).vms().stream()
                    .filter(vm -> vm.role() == Role.ENTRY && vm.state() == VmList.State.LIVE)
                    .map(vm -> new PeerEntry(vm.vm(), vm.address().toString()))
                    .toList();
        } catch (ExecutionException | TimeoutException e) {
            return List.of();
        }
    }

    /** Returns the live entry with the given name. */
    Optional<PeerEntry> find(String name) throws InterruptedException {
        return live().stream().filter(entry -> entry.name().equals(name)).findFirst();
    }
}
