package org.cornelramp.gateway.follow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.follow.ReadCoordinator.ReadPosition;
import org.cornelramp.gateway.follow.ReadCoordinator.Source;
import org.cornelramp.platform.MetadataStore.Topic;
import org.testng.annotations.Test;

/** From where a gateway reads the topics, in a deployment with many gateways and with a reader that fails. */
public class ReadCoordinatorTest {
    private static final HostPort READER = new HostPort("10.0.0.1", 7_000);
    private static final HostPort OTHER = new HostPort("10.0.0.2", 7_000);
    private static final long NOW = 50_000;
    private static final long ERA = 2;

    private static final ReadTiming TIMING = ReadTiming.of(2_000);

    private static ReadCoordinator coordinator(HostPort address) {
        return new ReadCoordinator(address, TIMING, new StoreAvailability());
    }

    private static ReadPosition position(HostPort reader, long configEnd, long serversEnd, long era) {
        return new ReadPosition(reader, configEnd, serversEnd, era, NOW, 600);
    }

    private static ReadCoordinator leaderThatReadBoth(long configEnd, long serversEnd) {
        StoreAvailability availability = new StoreAvailability();
        availability.recordAnswer(NOW, NOW);
        ReadCoordinator coordinator = new ReadCoordinator(READER, TIMING, availability);
        coordinator.recordRead(Topic.OPERATORS, ERA, configEnd, NOW);
        coordinator.recordRead(Topic.SERVERS, ERA, serversEnd, NOW);
        return coordinator;
    }

    /**
     * Guards against 28 gateways that each read every change of 58 engines from the store. The leader reads; another
     * gateway fetches only new records from it, and reads nowhere while there are none.
     */
    @Test
    public void leaderReadsForAll() {
        ReadPosition position =
                leaderThatReadBoth(4, 70).ownPosition(true, NOW + 100).orElseThrow();
        ReadCoordinator other = coordinator(OTHER);
        other.receivePosition(position, NOW + 150);
        assertEquals(other.source(Topic.SERVERS, ERA, 69, false, NOW + 200), Source.READER);
        assertEquals(other.source(Topic.SERVERS, ERA, 70, false, NOW + 200), Source.UP_TO_DATE);
        assertEquals(other.source(Topic.OPERATORS, ERA, -1, false, NOW + 200), Source.READER);
        assertEquals(other.readerAddress(), Optional.of(READER));
    }

    /**
     * Guards against a change of the configuration that is not in force everywhere within two seconds because the
     * reader was killed at that moment. Its updates stop, so once its position is no longer valid each of the others
     * reads from the store.
     */
    @Test
    public void gatewayWithoutRecentPositionReadsStore() {
        ReadCoordinator other = coordinator(OTHER);
        assertEquals(other.source(Topic.OPERATORS, ERA, 4, false, NOW), Source.STORE);
        other.receivePosition(position(READER, 4, 70, ERA), NOW);
        assertEquals(other.source(Topic.OPERATORS, ERA, 4, false, NOW + 599), Source.UP_TO_DATE);
        assertEquals(other.source(Topic.OPERATORS, ERA, 4, false, NOW + 600), Source.STORE);
    }

    /**
     * Guards against gateways that rely on the outdated position of a reader which the store refuses or does not
     * answer.
     */
    @Test
    public void readerWithoutAnswersAnnouncesNothing() {
        ReadCoordinator refused = leaderThatReadBoth(4, 70);
        refused.recordFailure(Topic.SERVERS);
        assertEquals(refused.ownPosition(true, NOW + 1), Optional.empty());
        long valid = TIMING.pathValidMillis();
        assertEquals(leaderThatReadBoth(4, 70).ownPosition(true, NOW + valid), Optional.empty());
        assertEquals(
                leaderThatReadBoth(4, 70)
                        .ownPosition(true, NOW + valid - 1)
                        .orElseThrow()
                        .validMillis(),
                1);
    }

    /** Guards against a position that stays valid by calls of other topics although its own topic gets no answers. */
    @Test
    public void positionEndsWithTheLastReadOfItsTopic() {
        StoreAvailability availability = new StoreAvailability();
        ReadCoordinator reader = new ReadCoordinator(READER, TIMING, availability);
        reader.recordRead(Topic.OPERATORS, ERA, 4, NOW);
        long later = NOW + TIMING.readMillis();
        reader.recordRead(Topic.SERVERS, ERA, 70, later);
        availability.recordAnswer(later, later);
        assertEquals(reader.ownPosition(true, later), Optional.empty());
    }

    /** Guards against a position that looks new because it waited on a link, or because its sender was suspended. */
    @Test
    public void timeOnTheWayCounts() {
        ReadCoordinator other = coordinator(OTHER);
        other.receivePosition(new ReadPosition(READER, 4, 70, ERA, 1_000, 600), NOW);
        other.receivePosition(new ReadPosition(READER, 4, 70, ERA, 1_120, 600), NOW + 520);
        assertEquals(other.source(Topic.SERVERS, ERA, 70, false, NOW + 719), Source.UP_TO_DATE);
        assertEquals(other.source(Topic.SERVERS, ERA, 70, false, NOW + 720), Source.STORE);
    }

    /** Guards against a former reader whose positions end those of the gateway that reads now. */
    @Test
    public void positionThatIsValidLongestIsUsed() {
        ReadCoordinator other = coordinator(OTHER);
        other.receivePosition(new ReadPosition(READER, 5, 71, ERA, 1_000, 600), NOW);
        other.receivePosition(new ReadPosition(new HostPort("10.0.0.3", 7_000), 4, 70, ERA, 8_000, 300), NOW + 100);
        assertEquals(other.source(Topic.SERVERS, ERA, 70, false, NOW + 200), Source.READER);
        assertEquals(other.readerAddress(), Optional.of(READER));
    }

    /**
     * Two gateways may both consider themselves the leader for a moment; each then reads from the store, at little
     * cost.
     */
    @Test
    public void leaderAlwaysReadsStore() {
        ReadCoordinator coordinator = leaderThatReadBoth(4, 70);
        coordinator.receivePosition(position(OTHER, 9, 99, ERA), NOW);
        assertEquals(coordinator.source(Topic.SERVERS, ERA, 70, true, NOW), Source.STORE);
        assertEquals(coordinator.ownPosition(false, NOW), Optional.empty());
    }

    /**
     * Guards against a gateway that never reads again: the store was restored, and the reader's end is lower than the
     * offset that this gateway had reached before.
     */
    @Test
    public void positionOfLaterEraIsNewer() {
        ReadCoordinator other = coordinator(OTHER);
        other.receivePosition(position(READER, 4, 70, ERA + 1), NOW);
        assertEquals(other.source(Topic.SERVERS, ERA, 120, false, NOW), Source.READER);
        assertEquals(other.source(Topic.SERVERS, ERA + 1, 70, false, NOW), Source.UP_TO_DATE);
    }

    /**
     * Guards against records that never arrive because the reader does not know of the restore yet and no other gateway
     * reads.
     */
    @Test
    public void positionOfEarlierEraIsIgnored() {
        ReadCoordinator other = coordinator(OTHER);
        other.receivePosition(position(READER, 4, 130, ERA), NOW);
        assertEquals(other.source(Topic.SERVERS, ERA + 1, 70, false, NOW), Source.STORE);
    }

    /** Guards against a position with ends of two eras, while the reader has read only one topic since the restore. */
    @Test
    public void readerBetweenErasAnnouncesNothing() {
        ReadCoordinator coordinator = leaderThatReadBoth(4, 70);
        coordinator.recordRead(Topic.SERVERS, ERA + 1, 60, NOW);
        assertEquals(coordinator.ownPosition(true, NOW), Optional.empty());
        coordinator.recordRead(Topic.OPERATORS, ERA + 1, 3, NOW);
        assertTrue(coordinator.ownPosition(true, NOW).orElseThrow().isAt(position(READER, 3, 60, ERA + 1)));
    }
}
