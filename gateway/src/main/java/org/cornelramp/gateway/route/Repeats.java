package org.cornelramp.gateway.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.retry.RepeatAccount;
import org.cornelramp.core.retry.RepeatNews;
import org.cornelramp.core.settings.GatewaySettings;

/** The repeats that this process may still send to each service, its peers' loans included. Owned by the router's duty. */
final class Repeats {
    /** Share of the common reserve that all processes take together; the rest is for those that just start. */
    private static final double RESERVE_SHARE = 0.8;

    /** Processes that share the reserve while peers are not known. */
    private static final int PROCESSES_GUESSED = 4;

    private final String name;
    private final GatewaySettings.Retries bounds;
    private final Map<ServiceName, RepeatAccount> accounts = new HashMap<>();
    private double even;

    /** @param name name of this process, by which peers lend to it */
    Repeats(String name, GatewaySettings.Retries bounds) {
        this.name = name;
        this.bounds = bounds;
        setPeers(0);
    }

    /** Sets how many peers share the reserve. */
    void setPeers(int peers) {
        even = bounds.reserve() * RESERVE_SHARE / Math.max(PROCESSES_GUESSED, peers + 1);
    }

    /** Notes a client's request. */
    void request(ServiceName service, long nowMillis) {
        account(service).request(nowMillis);
    }

    /** Takes one repeat, for a begun answer or a fresh request; false if none is left now. */
    boolean tryRepeat(ServiceName service, boolean begun, long nowMillis) {
        return account(service).tryRepeat(even, begun, nowMillis);
    }

    /** Whether {@link #tryRepeat} would take one now. */
    boolean hasRepeat(ServiceName service, boolean begun, long nowMillis) {
        return account(service).hasRepeat(even, begun, nowMillis);
    }

    /** Repeats left now, rounded down. */
    long left(ServiceName service, long nowMillis) {
        return (long) Math.floor(account(service).left(even, nowMillis));
    }

    /** What to tell the peers. */
    RepeatNews news(long nowMillis) {
        Map<ServiceName, Integer> wanted = new HashMap<>();
        List<RepeatNews.Loan> loans = new ArrayList<>();
        accounts.forEach((service, account) -> {
            if (account.wanted(nowMillis) > 0) {
                wanted.put(service, account.wanted(nowMillis));
            }
            account.lent().forEach((to, total) -> loans.add(new RepeatNews.Loan(service, to, total)));
        });
        return new RepeatNews(wanted, loans);
    }

    /** Takes a peer's news: what it lends to this process, and what it lacks. */
    void told(String peer, RepeatNews theirs, long nowMillis) {
        Map<ServiceName, Integer> lent = new HashMap<>();
        theirs.loans().stream()
                .filter(loan -> loan.to().equals(name))
                .forEach(loan -> lent.put(loan.service(), loan.total()));
        lent.keySet().forEach(this::account);
        accounts.forEach((service, account) -> account.borrowed(peer, lent.getOrDefault(service, 0)));
        theirs.wanted().forEach((service, wanted) -> account(service).lend(peer, wanted, even, nowMillis));
    }

    /** Gives back what was borrowed of peers that are not heard any more. */
    void forgetLenders(Predicate<String> heard) {
        accounts.values().forEach(account -> account.forgetLenders(heard));
    }

    private RepeatAccount account(ServiceName service) {
        return accounts.computeIfAbsent(service, any -> new RepeatAccount(bounds.ratio(), bounds.windowMillis()));
    }
}
