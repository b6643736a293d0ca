package org.cornelramp.gateway.route;

import java.util.ArrayList;
import java.util.List;
import org.cornelramp.gateway.request.FakeClient;

/** The requests of a {@link PoisonFleet} that crash no server, and what became of them. Used by one thread. */
final class SoundRequests {
    private final List<Sent> all = new ArrayList<>();

    /** @param inTouch whether the gateway had been undisturbed for some time */
    private record Sent(FakeClient client, boolean stream, long sentMillis, boolean inTouch) {
        boolean isSentWithin(long fromMillis, long toMillis) {
            return sentMillis >= fromMillis && sentMillis < toMillis;
        }

        boolean hasStarted() {
            return client.status() == 200 && !client.received().isEmpty();
        }
    }

    /** How many streams were sent in a span of time, and how many of them have begun. Immutable. */
    record Started(long sent, long begun) {
        double share() {
            return sent == 0 ? 1 : begun / (double) sent;
        }

        @Override
        public String toString() {
            return begun + " of " + sent;
        }
    }

    void add(FakeClient client, boolean stream, long sentMillis, boolean inTouch) {
        all.add(new Sent(client, stream, sentMillis, inTouch));
    }

    /** Number of those that were refused because servers have crashed under them. */
    long setAside() {
        return all.stream()
                .filter(sent -> PoisonFleet.isSetAside(sent.client()))
                .count();
    }

    /** Share of those that were answered completely, of those sent from a time on. */
    double servedSince(long fromMillis) {
        List<Sent> sent =
                all.stream().filter(one -> one.sentMillis() >= fromMillis).toList();
        long served = sent.stream()
                .filter(one -> one.client().status() == 200 && one.client().isComplete())
                .count();
        return sent.isEmpty() ? 1 : served / (double) sent.size();
    }

    /** The streams that gateways in touch were sent within a span of time. */
    Started startedWithin(long fromMillis, long toMillis) {
        List<Sent> sent = all.stream()
                .filter(one -> one.stream() && one.inTouch() && one.isSentWithin(fromMillis, toMillis))
                .toList();
        return new Started(sent.size(), sent.stream().filter(Sent::hasStarted).count());
    }
}
