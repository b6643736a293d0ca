package org.cornelramp.gateway.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Decides whom to tell the news in each round. Owned by one thread.
 *
 * <p>If each gateway told every other one each time, a fleet of n would send n² datagrams a round: at 28 gateways each
 * took 225 of them a second, on machines with a quarter of a core. So a round goes to a few peers, who take turns, and
 * what a gateway spends does not grow with the fleet; its loads are known a few rounds later instead.
 */
public final class PeerTurns {
    /** Time between two rounds, in milliseconds: a tenth of the time in which load moves noticeably. */
    public static final int ROUND_MILLIS = 120;

    /** Peers told in a round; deployments with up to nine gateways tell everyone each time. */
    public static final int MOST_A_ROUND = 8;

    /**
     * Peers told in a round by the gateway that reads the store for all. Those that it does not reach often enough read
     * by themselves, so this bounds what one machine spends in fleets of hundreds.
     */
    private static final int MOST_BY_READER = 32;

    /** Turns that a peer may miss, since datagrams are lost, before it counts as dead or cut off. */
    private static final int TURNS_MISSED = 4;

    /** Least silence that counts, in milliseconds: a stalled machine is often back within a second. */
    private static final long LEAST_SILENCE_MILLIS = 1_000;

    private int next;

    /**
     * The peers to tell now.
     *
     * @param urgent whether everyone must hear at once, such as of a server that has just failed
     * @param reads whether this gateway reads the store for all
     */
    <T> List<T> take(Collection<T> peers, boolean urgent, boolean reads) {
        List<T> all = List.copyOf(peers);
        int most = reads ? MOST_BY_READER : MOST_A_ROUND;
        if (urgent || all.size() <= most) {
            return all;
        }
        List<T> turn = new ArrayList<>(most);
        for (int i = 0; i < most; i++) {
            turn.add(all.get((next + i) % all.size()));
        }
        next = (next + most) % all.size();
        return turn;
    }

    /** Silence after which one of so many peers counts as dead or cut off, in milliseconds. */
    public static long silenceMillis(int peers) {
        int roundsToAll = (peers + MOST_A_ROUND - 1) / MOST_A_ROUND;
        return Math.max(LEAST_SILENCE_MILLIS, (long) TURNS_MISSED * roundsToAll * ROUND_MILLIS);
    }
}
