package org.cornelramp.gateway.follow;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.platform.MetadataStore.Topic;

/**
 * Decides where a topic of the store is read: from the store or from the gateway that reads it for all.
 *
 * <p>Each call to the store is billed, and a change ends all long polls that wait for one: in a deployment of 28
 * gateways the reads cost 0.048 of the total value of a day, more than any other cost. So the leading gateway reads for
 * all and announces in its updates how far it has read; the others fetch new records from it, and read from the store
 * themselves when they have no valid position.
 *
 * <p>Invariant: a position is valid for a time that counts from the last call of the reader that the store has
 * answered, wherever the position has been since. Any call counts, as a pending long poll returns a change at once
 * while the way to the store works; so a reader that loses its way delays changes by
 * {@link ReadTiming#pathValidMillis} at most. Safe for use by any thread; the current time is passed in.
 */
public final class ReadCoordinator {
    /** Readers whose transit delays are kept; more than lead within a few seconds. */
    private static final int MAX_READERS = 8;

    private final ReadTiming timing;
    private final StoreAvailability storeAvailability;
    private final Map<HostPort, TransitDelay> delays = new LinkedHashMap<>();
    private final HostPort records;
    private final Map<Topic, Read> ownReads = new EnumMap<>(Topic.class);
    private Optional<ReadPosition> receivedPosition = Optional.empty();
    private long validUntilMillis;

    /**
     * How far a gateway has read the topics. Immutable, safe for use by any thread.
     *
     * @param recordsAddress address at which it serves its records to its peers
     * @param configEnd offset after the newest record of the operators' topic
     * @param serversEnd offset after the newest record of the registrations
     * @param era era of the store for which the offsets are valid
     * @param sentMillis time of the announcement on the reader's steady clock
     * @param validMillis how long after that time it may be used
     */
    public record ReadPosition(
            HostPort recordsAddress, long configEnd, long serversEnd, long era, long sentMillis, long validMillis) {
        /** Whether another position names the same offsets. */
        public boolean isAt(ReadPosition other) {
            return configEnd == other.configEnd && serversEnd == other.serversEnd && era == other.era;
        }

        long end(Topic topic) {
            return topic == Topic.OPERATORS ? configEnd : serversEnd;
        }
    }

    /** How far a topic has been read, in which era of the store, and when. */
    private record Read(long era, long end, long millis) {}

    /** The place from which a topic is to be read now. */
    enum Source {
        /** The store itself. */
        STORE,
        /** The gateway that has announced its position: it has newer records. */
        READER,
        /** None: the reading gateway has no newer records. */
        UP_TO_DATE
    }

    /** From whom a topic is read. */
    enum Provider {
        /** The store itself. */
        STORE,
        /** The gateway that reads for all. */
        READER,
        /** Any other gateway, while the store does not answer this one. */
        PEER;

        /** Its name in log lines and metrics. */
        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * @param records address at which this gateway serves its records to its peers
     * @param storeAvailability tells when the store has last answered this process
     */
    public ReadCoordinator(HostPort records, ReadTiming timing, StoreAvailability storeAvailability) {
        this.records = records;
        this.timing = timing;
        this.storeAvailability = storeAvailability;
    }

    /** Records that the store has answered, and how far the topic has been read. */
    synchronized void recordRead(Topic topic, long era, long end, long nowMillis) {
        ownReads.put(topic, new Read(era, end, nowMillis));
    }

    /** Records that the store has not answered; the earlier position is no longer announced. */
    synchronized void recordFailure(Topic topic) {
        ownReads.remove(topic);
    }

    /**
     * The position to announce to the peers; empty unless this gateway is the leader and the store has answered
     * recently, for all topics and in one era.
     */
    public synchronized Optional<ReadPosition> ownPosition(boolean leads, long nowMillis) {
        Read config = ownReads.get(Topic.OPERATORS);
        Read servers = ownReads.get(Topic.SERVERS);
        if (!leads || config == null || servers == null || config.era() != servers.era()) {
            return Optional.empty(); // after a restore, one of the two topics may not have been read yet
        }
        long readAge = nowMillis - Math.min(config.millis(), servers.millis());
        long valid = Math.min(
                timing.readMillis() - readAge, timing.pathValidMillis() - storeAvailability.pathAgeMillis(nowMillis));
        return valid > 0
                ? Optional.of(new ReadPosition(records, config.end(), servers.end(), servers.era(), nowMillis, valid))
                : Optional.empty();
    }

    /** Stores the position that a peer has announced, unless an earlier one is valid for longer. */
    public synchronized void receivePosition(ReadPosition position, long nowMillis) {
        TransitDelay delay = delays.computeIfAbsent(position.recordsAddress(), any -> new TransitDelay());
        if (delays.size() > MAX_READERS) {
            delays.remove(delays.keySet().iterator().next());
        }
        long until = nowMillis + position.validMillis() - delay.excessMillis(position.sentMillis(), nowMillis);
        boolean sameReader =
                receivedPosition.map(ReadPosition::recordsAddress).equals(Optional.of(position.recordsAddress()));
        if (sameReader || until > validUntilMillis) {
            receivedPosition = Optional.of(position);
            validUntilMillis = until;
        }
    }

    /**
     * Where to read the topic from an offset on.
     *
     * <p>A position of a later era cannot be compared with the offset: the store's offsets went back when it was
     * restored, so a reader with a lower end may have newer records.
     *
     * @param era era of the store for which the offset is valid
     * @param next offset from which on records are needed; negative for all
     * @param leads whether this process is the leader
     */
    synchronized Source source(Topic topic, long era, long next, boolean leads, long nowMillis) {
        boolean fresh = receivedPosition.isPresent() && nowMillis < validUntilMillis;
        if (leads || !fresh || receivedPosition.get().era() < era) {
            return Source.STORE;
        }
        boolean newer =
                receivedPosition.get().era() > era || receivedPosition.get().end(topic) > next;
        return newer ? Source.READER : Source.UP_TO_DATE;
    }

    /** Latest time for which the received position is certain to contain all records. */
    synchronized long positionKnownMillis() {
        return validUntilMillis - timing.pathValidMillis();
    }

    /** The address of the gateway that announced the last position. */
    synchronized Optional<HostPort> readerAddress() {
        return receivedPosition.map(ReadPosition::recordsAddress);
    }
}
