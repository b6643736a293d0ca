package org.cornelramp.gateway.follow;

import java.util.Optional;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.platform.MetadataStore;

/** Reads the store's records and the configuration from peers. Safe for use by any thread; calls block. */
interface PeerRecords {
    /** The newest records of a topic from a random peer; empty if none of the peers asked has read them recently. */
    Optional<RecordCache.RecordSet> fetchFromAnyPeer(MetadataStore.Topic topic);

    /** The configuration that a peer has in force, as it was published; empty if the peer does not return it. */
    Optional<byte[]> fetchConfig(String host);

    /**
     * The records of a topic as one peer has read them; empty if it does not return them.
     *
     * @param era era of the store for which the offset is valid
     * @param from offset from which on records are needed; negative for all keys
     */
    Optional<RecordCache.RecordSet> fetch(HostPort peer, MetadataStore.Topic topic, long era, long from);
}
