package org.cornelramp.gateway.peer;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Who is told the news, and who is introduced to others. */
public class PeerBookTest {

    /**
     * A gateway dies. Two others go on introducing to each other whom they have heard. Its address must leave both: if
     * each passed on what the other introduced, it would go round for good, and rounds would be spent on dead machines.
     */
    @Test
    public void theAddressOfADeadGatewayDoesNotGoRound() {
        PeerBook<String> one = new PeerBook<>();
        PeerBook<String> other = new PeerBook<>();
        one.heard("dead", 0);
        for (long now = 0; now <= 4 * PeerBook.TOLD_MILLIS; now += 120) {
            long at = now;
            one.toIntroduce(at).forEach(peer -> other.introduced(peer, at));
            other.toIntroduce(at).forEach(peer -> one.introduced(peer, at));
        }
        long end = 4 * PeerBook.TOLD_MILLIS;
        assertEquals(one.toTell(List.of(), end), Set.of());
        assertEquals(other.toTell(List.of(), end), Set.of());
    }

    /** Whoever is listed, was heard or was introduced is told; only who was heard is introduced. */
    @Test
    public void tellsAllAndIntroducesThoseHeard() {
        PeerBook<String> book = new PeerBook<>();
        book.heard("heard", 100);
        book.introduced("introduced", 100);
        assertEquals(book.toTell(List.of("listed"), 200), Set.of("listed", "heard", "introduced"));
        assertEquals(book.toIntroduce(200), Set.of("heard"));
    }
}
