package org.cornelramp.gateway.follow;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.follow.ReadingShare.Reading;
import org.cornelramp.gateway.follow.ReadingShare.Source;
import org.cornelramp.platform.MetadataStore.Topic;
import org.testng.annotations.Test;

/** Who reads the store for whom, in a deployment with many gateways and with a reader that fails. */
public class ReadingShareTest {
    private static final HostPort READER = new HostPort("10.0.0.1", 7_000);
    private static final HostPort OTHER = new HostPort("10.0.0.2", 7_000);
    private static final long NOW = 50_000;
    private static final long ERA = 2;

    private static ReadingShare readBoth(long configEnd, long serversEnd) {
        ReadingShare share = new ReadingShare(READER);
        share.read(Topic.OPERATORS, ERA, configEnd, NOW);
        share.read(Topic.SERVERS, ERA, serversEnd, NOW);
        return share;
    }

    /**
     * Load of a grown deployment: 28 gateways that would each be woken by every change of 58 engines. The one that leads
     * reads; another asks it only for what is new, and nobody while nothing is.
     */
    @Test
    public void oneReadsForAll() {
        Reading told = readBoth(4, 70).own(true, NOW + 100).orElseThrow();
        ReadingShare other = new ReadingShare(OTHER);
        other.heard(told, NOW + 150);
        assertEquals(other.source(Topic.SERVERS, ERA, 69, false, NOW + 200), Source.READER);
        assertEquals(other.source(Topic.SERVERS, ERA, 70, false, NOW + 200), Source.NOWHERE);
        assertEquals(other.source(Topic.OPERATORS, ERA, -1, false, NOW + 200), Source.READER);
        assertEquals(other.reader(), Optional.of(READER));
    }

    /**
     * The reader is killed just as an operator changes the configuration. Its news stop; each of the others reads by
     * itself soon enough for the change to be in force everywhere within two seconds.
     */
    @Test
    public void whoHearsOfNoReadingReadsByItself() {
        ReadingShare other = new ReadingShare(OTHER);
        assertEquals(other.source(Topic.OPERATORS, ERA, 4, false, NOW), Source.STORE);
        other.heard(new Reading(READER, 4, 70, ERA), NOW);
        assertEquals(other.source(Topic.OPERATORS, ERA, 4, false, NOW + 600), Source.NOWHERE);
        assertEquals(other.source(Topic.OPERATORS, ERA, 4, false, NOW + 601), Source.STORE);
    }

    /** The store turns the reader away, or falls silent: it tells nothing more, so the others do not trust old news. */
    @Test
    public void aReaderWithoutAnswersTellsNothing() {
        ReadingShare refused = readBoth(4, 70);
        refused.notRead(Topic.SERVERS);
        assertEquals(refused.own(true, NOW + 1), Optional.empty());
        assertEquals(readBoth(4, 70).own(true, NOW + ReadingShare.FRESH_MILLIS + 1), Optional.empty());
    }

    /** Two gateways may both believe that they lead for a moment; each then reads by itself, which costs little. */
    @Test
    public void whoLeadsAlwaysReadsByItself() {
        ReadingShare share = readBoth(4, 70);
        share.heard(new Reading(OTHER, 9, 99, ERA), NOW);
        assertEquals(share.source(Topic.SERVERS, ERA, 70, true, NOW), Source.STORE);
        assertEquals(share.own(false, NOW), Optional.empty());
    }

    /**
     * Guards against a gateway that waits for good: the store was restored, and the reader's end lies below what this one
     * had read before.
     */
    @Test
    public void aReadingOfALaterEraIsNewHoweverShort() {
        ReadingShare other = new ReadingShare(OTHER);
        other.heard(new Reading(READER, 4, 70, ERA + 1), NOW);
        assertEquals(other.source(Topic.SERVERS, ERA, 120, false, NOW), Source.READER);
        assertEquals(other.source(Topic.SERVERS, ERA + 1, 70, false, NOW), Source.NOWHERE);
    }

    /** Guards against news that never come: the reader has not heard of the restore, and nobody else reads. */
    @Test
    public void aReaderOfAnEarlierEraIsNotFollowed() {
        ReadingShare other = new ReadingShare(OTHER);
        other.heard(new Reading(READER, 4, 130, ERA), NOW);
        assertEquals(other.source(Topic.SERVERS, ERA + 1, 70, false, NOW), Source.STORE);
    }

    /** Guards against ends of two eras told as one reading, while the reader has read only one topic anew. */
    @Test
    public void aReaderThatIsHalfThroughTellsNothing() {
        ReadingShare share = readBoth(4, 70);
        share.read(Topic.SERVERS, ERA + 1, 60, NOW);
        assertEquals(share.own(true, NOW), Optional.empty());
        share.read(Topic.OPERATORS, ERA + 1, 3, NOW);
        assertEquals(share.own(true, NOW), Optional.of(new Reading(READER, 3, 60, ERA + 1)));
    }
}
