package org.cornelramp.gateway.peer;

import java.util.Optional;
import org.cornelramp.core.admission.DemandReport;
import org.cornelramp.core.member.GatewayStatus;
import org.cornelramp.core.path.PrefixSketch;

/**
 * The optional section at the end of an update. Immutable, safe for use by any thread.
 *
 * @param report the demand at the sender; empty if it builds no report
 * @param recipients number of peers among which the sender rotates its updates; it determines how long the section counts
 * @param status capacity and load of the sender; empty if it does not measure them
 * @param prefixes beginnings of prompts that the sender's requests hold; empty if it tracks none
 */
public record DemandSection(
        Optional<DemandReport> report, int recipients, Optional<GatewayStatus> status, PrefixSketch prefixes) {
    /** Most peers that a section may name. */
    private static final int MAX_RECIPIENTS = 100_000;

    /** The section of a gateway that uses none of the functions that need it; it takes no bytes. */
    public static final DemandSection NONE = new DemandSection(Optional.empty(), 0, Optional.empty());

    /** @throws IllegalArgumentException if the number of recipients is impossible */
    public DemandSection {
        if (recipients < 0 || recipients > MAX_RECIPIENTS) {
            throw new IllegalArgumentException(
                    "An update has 0 to " + MAX_RECIPIENTS + " recipients; value=" + recipients);
        }
    }

    /** A section without beginnings of prompts. */
    public DemandSection(Optional<DemandReport> report, int recipients, Optional<GatewayStatus> status) {
        this(report, recipients, status, PrefixSketch.EMPTY);
    }

    /** The same section with other beginnings of prompts. */
    public DemandSection withPrefixes(PrefixSketch other) {
        return new DemandSection(report, recipients, status, other);
    }

    /**
     * Time for which the section counts unless its sender sends another. It follows from the number of peers to which
     * the sender sends, not from the number that the reader hears: while the fleet is partitioned, a sender still gives
     * the unreachable peers their turns, and the others hear from it as rarely as before.
     */
    public long silenceMillis() {
        return PeerRotation.silenceMillis(recipients);
    }

    /** The same section with the number of peers among which the sender rotates its updates. */
    DemandSection withRecipients(int count) {
        return isEmpty() ? this : new DemandSection(report, Math.min(count, MAX_RECIPIENTS), status, prefixes);
    }

    boolean isEmpty() {
        return report.isEmpty() && status.isEmpty() && prefixes.isEmpty();
    }
}
