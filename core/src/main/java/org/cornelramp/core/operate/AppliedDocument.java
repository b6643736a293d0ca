package org.cornelramp.core.operate;

import java.util.List;
import java.util.Map;

/**
 * Table offset that each process known to one entry has applied. Immutable, safe for use by any thread.
 *
 * @param entry name of the entry that answers
 * @param offset offset that it applies
 * @param agents offset that each agent linked to it last reported
 * @param entries the entries that the VM list shows as live, itself included if shown
 */
public record AppliedDocument(String entry, long offset, Map<String, Long> agents, List<PeerEntry> entries) {

    /**
     * Another entry.
     *
     * @param name its name
     * @param address its HTTP address
     */
    public record PeerEntry(String name, String address) {}
}
