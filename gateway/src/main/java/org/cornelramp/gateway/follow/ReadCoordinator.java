package org.cornelramp.gateway.follow;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.platform.MetadataStore.Topic;

/**
 * Decides where a topic of the store is read: from the store or from the gateway that reads it for all.
 *
 * <p>Each call to the store is billed, and a change ends all long polls that wait for one: in a deployment of 28
 * gateways the reads cost 0.048 of the total value of a day, more than any other cost. So the leading gateway reads for
 * all and announces in its updates how far it has read; the others fetch new records from it. A gateway that has
 * received no recent announcement for {@link #POSITION_VALID_MILLIS} reads from the store itself, so a reader that
 * dies, stalls or is unreachable delays records by that time at most. Safe for use by any thread; the current time is
 * passed in.
 */
public final class ReadCoordinator {
    /** Age up to which an announced position is used: five rounds of updates, so that two lost rounds are tolerated. */
    static final long POSITION_VALID_MILLIS = 600;

    /**
     * Age of the store's last answer up to which the own position is announced: the duration of a long poll and of its
     * transfer.
     */
    static final long ANSWER_VALID_MILLIS = TopicFollower.LONG_POLL_MILLIS + 400;

    private final HostPort records;
    private final Map<Topic, Read> ownReads = new EnumMap<>(Topic.class);
    private Optional<ReadPosition> receivedPosition = Optional.empty();
    private long receivedMillis;

    /**
     * How far a gateway has read the topics. Immutable, safe for use by any thread.
     *
     * @param recordsAddress address at which it serves its records to its peers
     * @param configEnd offset after the newest record of the operators' topic
     * @param serversEnd offset after the newest record of the registrations
     * @param era era of the store for which the offsets are valid
     */
    public record ReadPosition(HostPort recordsAddress, long configEnd, long serversEnd, long era) {
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
        READER
    }

    /** @param records address at which this gateway serves its records to its peers */
    public ReadCoordinator(HostPort records) {
        this.records = records;
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
     * recently for all topics, in one era.
     */
    public synchronized Optional<ReadPosition> ownPosition(boolean leads, long nowMillis) {
        for (Topic topic : Topic.values()) {
            Read read = ownReads.get(topic);
            if (!leads || read == null || nowMillis - read.millis() > ANSWER_VALID_MILLIS) {
                return Optional.empty();
            }
        }
        Read config = ownReads.get(Topic.OPERATORS);
        Read servers = ownReads.get(Topic.SERVERS);
        return config.era() == servers.era()
                ? Optional.of(new ReadPosition(records, config.end(), servers.end(), servers.era()))
                : Optional.empty(); // one of the two topics has not been read since the restore
    }

    /** Stores the position that a peer has announced. */
    public synchronized void receivePosition(ReadPosition reading, long nowMillis) {
        receivedPosition = Optional.of(reading);
        receivedMillis = nowMillis;
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
        boolean fresh = receivedPosition.isPresent() && nowMillis - receivedMillis <= POSITION_VALID_MILLIS;
        if (leads || !fresh || receivedPosition.get().era() < era) {
            return Source.STORE;
        }
        boolean newer =
                receivedPosition.get().era() > era || receivedPosition.get().end(topic) > next;
        return newer ? Source.READER : Source.UP_TO_DATE;
    }

    /** When the last position was received; 0 before the first. */
    synchronized long receivedMillis() {
        return receivedMillis;
    }

    /** The address of the gateway that announced the last position. */
    synchronized Optional<HostPort> readerAddress() {
        return receivedPosition.map(ReadPosition::recordsAddress);
    }
}
