package org.cornelramp.core.key;

import java.time.Duration;
import java.time.Instant;
import java.util.UUID;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.ProblemKind;

/** Keys survive a round trip through their text, are refused by age, and no other text is accepted as a key. */
class KeyProperties {
    private static final Instant NOW = Instant.ofEpochMilli(1_800_000_000_000L);
    private static final Duration WINDOW = Duration.ofHours(1);

    @Property(seed = "101")
    boolean aTicketSurvivesARoundTrip(
            @ForAll long incarnationNumber,
            @ForAll @LongRange(min = 0, max = 1L << 46) long millis,
            @ForAll long nonce) {
        Incarnation incarnation = new Incarnation(new BackendServerId("book-1.a"), incarnationNumber);
        Ticket ticket = new Ticket(incarnation, Instant.ofEpochMilli(millis), nonce);
        return Ticket.parse(ticket.text()).equals(ticket);
    }

    @Property(seed = "102")
    boolean aKeyIsRefusedExactlyWhenItsAgeIsOutsideTheWindow(
            @ForAll @LongRange(min = -7_200_000, max = 7_200_000) long age, @ForAll long low) {
        long millis = NOW.toEpochMilli() - age;
        UUID uuid = new UUID((millis << 16) | 0x7000L, low);
        var read = IdempotencyKey.read(uuid.toString(), NOW, WINDOW);
        boolean old = age > WINDOW.toMillis();
        boolean early = age < -IdempotencyKey.CLOCK_SKEW.toMillis();
        if (old || early) {
            return read.isLeft()
                    && read.getLeft().kind() == (old ? ProblemKind.KEY_EXPIRED : ProblemKind.KEY_MALFORMED);
        }
        return read.isRight() && read.get().madeAt().toEpochMilli() == millis;
    }

    @Property(seed = "103", tries = 5_000)
    boolean malformedTextIsRefused(@ForAll String text) {
        return IdempotencyKey.read(text, NOW, WINDOW).isLeft();
    }
}
