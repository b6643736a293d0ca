package org.cornelramp.gateway.peer;

import java.util.Optional;
import org.cornelramp.core.admission.DemandReport;
import org.cornelramp.core.member.GatewayStatus;
import org.cornelramp.core.path.PrefixSketch;

/**
 * The optional section at the end of an update. Immutable, safe for use by any thread.
 *
 * @param report the demand at the sender; empty if it builds no report
 * @param intervalRounds rounds between two sections with report and status to the same peer; it determines how long they
 *     count
 * @param status capacity and load of the sender; empty if it does not measure them
 * @param prefixes beginnings of prompts that the sender's requests hold; empty if it tracks none
 * @param omitted whether this update leaves out report and status to save bytes; the previous ones still count
 */
public record DemandSection(
        Optional<DemandReport> report,
        int intervalRounds,
        Optional<GatewayStatus> status,
        PrefixSketch prefixes,
        boolean omitted) {
    /** Most rounds between two sections; 20 minutes. */
    private static final int MAX_INTERVAL_ROUNDS = 10_000;

    /** The section of a gateway that uses none of the functions that need it; it takes no bytes. */
    public static final DemandSection NONE = new DemandSection(Optional.empty(), 0, Optional.empty());

    /** @throws IllegalArgumentException if the interval is impossible, or if report or status are there though omitted */
    public DemandSection {
        if (intervalRounds < 0 || intervalRounds > MAX_INTERVAL_ROUNDS) {
            throw new IllegalArgumentException("The interval of demand sections must be 0 to " + MAX_INTERVAL_ROUNDS
                    + " rounds; value=" + intervalRounds);
        }
        if (omitted && (report.isPresent() || status.isPresent())) {
            throw new IllegalArgumentException("A demand section that omits report and status must not contain them");
        }
    }

    /** A section without beginnings of prompts. */
    public DemandSection(Optional<DemandReport> report, int intervalRounds, Optional<GatewayStatus> status) {
        this(report, intervalRounds, status, PrefixSketch.EMPTY, false);
    }

    /** How much of report and status an update contains. Immutable, safe for use by any thread. */
    enum Extent {
        OMITTED,
        /** The status and the report without details. */
        RECENT,
        ALL
    }

    /** The same section with other beginnings of prompts. */
    public DemandSection withPrefixes(PrefixSketch other) {
        return new DemandSection(report, intervalRounds, status, other, omitted);
    }

    /**
     * Time for which the section counts unless its sender sends another. It follows from the interval at which the
     * sender sends, not from the number of peers that the reader hears: while the fleet is partitioned, a sender still
     * gives the unreachable peers their turns, and the others hear from it as rarely as before.
     */
    public long silenceMillis() {
        return PeerRotation.silenceMillisOfInterval(intervalRounds);
    }

    /** The same section with a number of rounds between two sections to the same peer. */
    DemandSection withInterval(int rounds) {
        return isEmpty()
                ? this
                : new DemandSection(report, Math.min(rounds, MAX_INTERVAL_ROUNDS), status, prefixes, omitted);
    }

    /** The same section with fewer rows in its report, see {@link DemandReport#reduced}. */
    DemandSection reduced() {
        return new DemandSection(report.map(DemandReport::reduced), intervalRounds, status, prefixes, omitted);
    }

    /** The same section with a part of report and status; one that has neither stays as it is. */
    DemandSection limitedTo(Extent extent) {
        if (extent == Extent.ALL || !hasFigures()) {
            return this;
        }
        return extent == Extent.RECENT
                ? new DemandSection(report.map(DemandReport::withoutDetails), intervalRounds, status, prefixes, omitted)
                : new DemandSection(
                        Optional.empty(), prefixes.isEmpty() ? 0 : intervalRounds, Optional.empty(), prefixes, true);
    }

    /** Whether it has a report or a status. */
    boolean hasFigures() {
        return report.isPresent() || status.isPresent();
    }

    boolean isEmpty() {
        return !omitted && !hasFigures() && prefixes.isEmpty();
    }
}
