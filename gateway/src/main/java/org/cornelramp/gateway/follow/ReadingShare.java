package org.cornelramp.gateway.follow;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.platform.MetadataStore.Topic;

/**
 * Decides who reads the store's topics: one gateway for all, and each one for itself while nobody does.
 *
 * <p>Every call to the store is paid for, and a change wakes every caller that waits for one: in a deployment of 28
 * gateways the reads cost 0.048 of a day's worth, more than any other price. So the gateway that leads reads for all and
 * tells in its news how far it has read; the others fetch from it what is new. Whoever has not heard of a fresh reading
 * for {@link #HEARD_MILLIS} reads by itself, so a reader that dies, stands still or is cut off delays news by that time
 * and no more. Safe for use by any thread; the present time is passed in.
 */
public final class ReadingShare {
    /** Age up to which a reading counts as told just now: five rounds of news, or two of them lost. */
    static final long HEARD_MILLIS = 600;

    /** Age of the store's last answer up to which a reading is told: a call that waits for a change, and the way back. */
    static final long FRESH_MILLIS = Follower.LONG_POLL_MILLIS + 400;

    private final HostPort records;
    private final Map<Topic, Read> reads = new EnumMap<>(Topic.class);
    private Optional<Reading> heard = Optional.empty();
    private long heardMillis;

    /**
     * How far a gateway has read. Immutable, safe for use by any thread.
     *
     * @param records where it gives its records to its peers
     * @param configEnd offset behind the newest record of the operators' topic
     * @param serversEnd offset behind the newest record of the registrations
     * @param era era of the store in which the offsets hold
     */
    public record Reading(HostPort records, long configEnd, long serversEnd, long era) {
        long end(Topic topic) {
            return topic == Topic.OPERATORS ? configEnd : serversEnd;
        }
    }

    /** How far a topic has been read, in which era of the store, and when. */
    private record Read(long era, long end, long millis) {}

    /** Where a topic is to be read now. */
    enum Source {
        /** The store itself. */
        STORE,
        /** The gateway whose reading was heard: it has something new. */
        READER,
        /** Nowhere: the reader has nothing new. */
        NOWHERE
    }

    /** @param records where this gateway gives its records to its peers */
    public ReadingShare(HostPort records) {
        this.records = records;
    }

    /** Notes that the store has answered, and how far the topic has been read. */
    synchronized void read(Topic topic, long era, long end, long nowMillis) {
        reads.put(topic, new Read(era, end, nowMillis));
    }

    /** Notes that the store has not answered: what was read before is told no more. */
    synchronized void notRead(Topic topic) {
        reads.remove(topic);
    }

    /** What to tell the peers; empty unless this gateway leads and the store has just answered. */
    public synchronized Optional<Reading> own(boolean leads, long nowMillis) {
        for (Topic topic : Topic.values()) {
            Read read = reads.get(topic);
            if (!leads || read == null || nowMillis - read.millis() > FRESH_MILLIS) {
                return Optional.empty();
            }
        }
        Read config = reads.get(Topic.OPERATORS);
        Read servers = reads.get(Topic.SERVERS);
        return config.era() == servers.era()
                ? Optional.of(new Reading(records, config.end(), servers.end(), servers.era()))
                : Optional.empty(); // one of the two has yet to be read anew
    }

    /** Takes what a peer tells. */
    public synchronized void heard(Reading reading, long nowMillis) {
        heard = Optional.of(reading);
        heardMillis = nowMillis;
    }

    /**
     * Where to read the topic from an offset on; negative for all of it.
     *
     * <p>A reading of another era says nothing about the offset: the store's offsets went back when it was restored, so a
     * reader whose end lies below may well have something new.
     *
     * @param era era of the store in which the offset holds
     */
    synchronized Source source(Topic topic, long era, long next, boolean leads, long nowMillis) {
        boolean fresh = heard.isPresent() && nowMillis - heardMillis <= HEARD_MILLIS;
        if (leads || !fresh || heard.get().era() < era) {
            return Source.STORE;
        }
        boolean newer = heard.get().era() > era || heard.get().end(topic) > next;
        return newer ? Source.READER : Source.NOWHERE;
    }

    /** Who has told the last reading. */
    synchronized Optional<HostPort> reader() {
        return heard.map(Reading::records);
    }
}
