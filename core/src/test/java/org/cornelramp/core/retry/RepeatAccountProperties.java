package org.cornelramp.core.retry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Repeats of several processes that lend to each other, with news that are lost, repeated and late. */
class RepeatAccountProperties {
    private static final long WINDOW = 10_000;
    private static final int PROCESSES = 6;
    private static final double RESERVE = 60;
    private static final double EVEN = RESERVE / PROCESSES;

    private final List<RepeatAccount> accounts = new ArrayList<>();
    private final List<Long> repeats = new ArrayList<>();

    private record Letter(int from, Map<String, Integer> lent, int wanted) {}

    /**
     * One process needs most of the repeats, then another one. No request comes, so only the reserve counts; whatever
     * happens to the news, no window of all processes together holds more repeats than the reserve.
     */
    @Property(tries = 60, seed = "23")
    void theSumKeepsTheReserve(@ForAll long seed) {
        Random random = new Random(seed);
        accounts.clear();
        repeats.clear();
        for (int i = 0; i < PROCESSES; i++) {
            accounts.add(new RepeatAccount(0.2, WINDOW));
        }
        Deque<Letter> late = new ArrayDeque<>();
        for (long now = 0; now < 40_000; now += 20) {
            int needy = (int) (now / 9_000) % PROCESSES;
            int who = random.nextInt(3) > 0 ? needy : random.nextInt(PROCESSES);
            if (accounts.get(who).tryRepeat(EVEN, random.nextBoolean(), now)) {
                repeats.add(now);
            }
            int from = random.nextInt(PROCESSES);
            late.add(new Letter(
                    from, accounts.get(from).lent(), accounts.get(from).wanted(now)));
            deliver(late, random, now);
            check(now);
        }
    }

    /** News of one sender come in their order, as each carries a number; some are lost or wait long. */
    private void deliver(Deque<Letter> late, Random random, long now) {
        while (late.size() > 1 && random.nextInt(4) > 0) {
            Letter letter = late.poll();
            for (int to = 0; to < PROCESSES; to++) {
                if (to != letter.from() && random.nextInt(3) > 0) {
                    RepeatAccount account = accounts.get(to);
                    account.borrowed(name(letter.from()), letter.lent().getOrDefault(name(to), 0));
                    account.lend(name(letter.from()), letter.wanted(), EVEN, now);
                }
            }
        }
    }

    private static String name(int process) {
        return "p" + process;
    }

    private void check(long now) {
        long inWindow = repeats.stream().filter(at -> at > now - WINDOW).count();
        if (inWindow > RESERVE) {
            throw new AssertionError(inWindow + " repeats within one window");
        }
    }

    /**
     * An engine dies whose streams one process carries, and the others need no repeats. The process's even part is used up
     * after ten; with what the others lend it carries on more than twice as many in the same window.
     */
    @Property(tries = 1)
    void aProcessInNeedDrawsOnWhatOthersDoNotUse() {
        RepeatAccount needy = new RepeatAccount(0.2, WINDOW);
        RepeatAccount calm = new RepeatAccount(0.2, WINDOW);
        int sent = 0;
        for (long now = 0; now < 2_000; now += 20) {
            sent += needy.tryRepeat(EVEN, true, now) ? 1 : 0;
            for (int other = 1; other < PROCESSES; other++) {
                calm.lend("needy" + other, needy.wanted(now), EVEN, now);
            }
            calm.lent().forEach((to, total) -> needy.borrowed(to, total));
        }
        if (sent <= EVEN) {
            throw new AssertionError("only " + sent + " repeats");
        }
    }

    /** Fresh requests use up what they may; a begun answer still finds a repeat. */
    @Property(tries = 1)
    void begunAnswersGoBeforeFreshRequests() {
        RepeatAccount account = new RepeatAccount(0.2, WINDOW);
        boolean left = true;
        while (left) {
            left = account.tryRepeat(EVEN, false, 0);
        }
        if (!account.tryRepeat(EVEN, true, 0)) {
            throw new AssertionError("fresh requests took all repeats");
        }
    }
}
