package org.cornelramp.gateway.peer;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cornelramp.core.admission.DemandReport;
import org.cornelramp.core.path.PrefixSketch;
import org.cornelramp.gateway.peer.DemandSection.Extent;

/**
 * Decides how much of its report and status a gateway sends to each peer of a round. Confined to one thread.
 *
 * <p>Invariant: reports and statuses take at most {@value #BYTES_PER_SECOND} bytes per second, apart from one round and one
 * report, whatever they contain and however many peers a round has. Within that, the peers that were left out longest come
 * first. All get the details if the budget allows it in each round; otherwise a peer gets them in one of
 * {@value DemandReport#REPORTS_PER_DETAILS} reports, and they are spread over the peers of each round.
 *
 * @param <T> type of an address
 */
final class DemandPacing<T> {
    /** Maximum number of bytes per second: the 4 KB/s that a gateway may spend on exchanging demand. */
    static final int BYTES_PER_SECOND = 4_000;

    private static final int BYTES_PER_ROUND = BYTES_PER_SECOND * PeerRotation.ROUND_MILLIS / 1_000;

    private final Map<T, Sent> sentByPeer = new HashMap<>();
    private long round;
    private long allowedBytes = BYTES_PER_ROUND;
    private long updatedMillis;

    /** What a peer got last: the round of its last report, and the number of reports since that with details. */
    private record Sent(long round, int reportsSinceDetails) {
        static final Sent NOTHING = new Sent(-1, DemandReport.REPORTS_PER_DETAILS);
    }

    /** Bytes of a section with each extent of report and status, without the beginnings of prompts. */
    private record Sizes(int omitted, int recent, int all) {
        static Sizes of(DemandSection section) {
            return new Sizes(
                    DemandSectionCodec.size(section.limitedTo(Extent.OMITTED)),
                    DemandSectionCodec.size(section.limitedTo(Extent.RECENT)),
                    DemandSectionCodec.size(section.limitedTo(Extent.ALL)));
        }

        int of(Extent extent) {
            return switch (extent) {
                case OMITTED -> omitted;
                case RECENT -> recent;
                case ALL -> all;
            };
        }
    }

    /**
     * A section and its extent for each recipient of a round. Immutable, safe for use by any thread.
     *
     * @param section the section with the interval at which each peer gets it
     */
    record Plan<T>(DemandSection section, Map<T, Extent> extents) {
        Extent extent(T peer) {
            return extents.getOrDefault(peer, Extent.ALL);
        }
    }

    /**
     * Plans a round.
     *
     * @param recipients the peers that get an update in this round
     * @param known all peers
     */
    Plan<T> plan(DemandSection section, Collection<T> recipients, Set<T> known, long nowMillis) {
        sentByPeer.keySet().retainAll(known);
        int turnRounds = PeerRotation.roundsToAll(known.size());
        if (!section.hasFigures()) {
            return new Plan<>(section.withInterval(turnRounds), Map.of());
        }
        DemandSection figures = section.withPrefixes(PrefixSketch.EMPTY);
        Sizes sizes = Sizes.of(figures.withInterval(turnRounds));
        int perRound = Math.min(PeerRotation.MAX_PEERS_PER_ROUND, known.size());
        boolean allFit = perRound * sizes.all() <= BYTES_PER_ROUND;
        int bytesPerRound = allFit
                ? perRound * sizes.all()
                : perRound * sizes.recent() + shareWithDetails(perRound) * (sizes.all() - sizes.recent());
        int turns = (bytesPerRound + BYTES_PER_ROUND - 1) / BYTES_PER_ROUND;
        return new Plan<>(section.withInterval(turnRounds * turns), extents(sizes, allFit, recipients, nowMillis));
    }

    private static int shareWithDetails(int peers) {
        return (peers + DemandReport.REPORTS_PER_DETAILS - 1) / DemandReport.REPORTS_PER_DETAILS;
    }

    private Map<T, Extent> extents(Sizes sizes, boolean allFit, Collection<T> recipients, long nowMillis) {
        round++;
        long earned = BYTES_PER_SECOND * Math.max(0, nowMillis - updatedMillis) / 1_000;
        allowedBytes = Math.min(BYTES_PER_ROUND, allowedBytes + earned);
        updatedMillis = nowMillis;
        List<T> longestLeftOutFirst = recipients.stream()
                .sorted(Comparator.comparingLong(peer -> sent(peer).round()))
                .toList();
        Set<T> getDetails =
                allFit ? Set.copyOf(recipients) : dueForDetails(longestLeftOutFirst, allowedBytes / sizes.recent());
        Map<T, Extent> extents = new HashMap<>();
        for (T peer : longestLeftOutFirst) {
            Extent extent = allowedBytes <= 0 ? Extent.OMITTED : getDetails.contains(peer) ? Extent.ALL : Extent.RECENT;
            allowedBytes -= sizes.of(extent);
            extents.put(peer, extent);
            if (extent != Extent.OMITTED) {
                int reports = extent == Extent.ALL ? 1 : sent(peer).reportsSinceDetails() + 1;
                sentByPeer.put(peer, new Sent(round, reports));
            }
        }
        return extents;
    }

    /**
     * The peers whose details are oldest, of those that get a report in this round. Details may come a report early, or
     * the peers whose turns fall into the same rounds would wait longer than others.
     *
     * @param reports number of reports that the budget allows
     */
    private Set<T> dueForDetails(List<T> longestLeftOutFirst, long reports) {
        long usual = Math.max(1, Math.min(reports, PeerRotation.MAX_PEERS_PER_ROUND));
        return longestLeftOutFirst.stream()
                .limit(usual)
                .filter(peer -> sent(peer).reportsSinceDetails() >= DemandReport.REPORTS_PER_DETAILS - 1)
                .sorted(Comparator.comparingInt(peer -> -sent(peer).reportsSinceDetails()))
                .limit(shareWithDetails((int) usual))
                .collect(Collectors.toSet());
    }

    private Sent sent(T peer) {
        return sentByPeer.getOrDefault(peer, Sent.NOTHING);
    }
}
