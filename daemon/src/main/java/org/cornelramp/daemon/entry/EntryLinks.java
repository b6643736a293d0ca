package org.cornelramp.daemon.entry;

import org.cornelramp.daemon.table.TableSource;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.link.LinkListener;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.Message;
import org.cornelramp.wire.message.TableRequest;
import org.cornelramp.wire.message.TableUpdate;

/**
 * Hands what happens on links to the router.
 *
 * <p>Called on the network thread. Invariant: the router hears of the end of every link that it has heard of.
 */
final class EntryLinks implements LinkListener {
    private final Router router;
    private final TableSource table;
    private final LinkedAgents agents;

    EntryLinks(Router router, TableSource table, LinkedAgents agents) {
        this.agents = agents;
        this.router = router;
        this.table = table;
    }

    @Override
    public void opened(Link link) {
        agents.opened(link);
        if (!router.run(now -> router.opened(link, now))) {
            link.close("the router is overloaded");
        }
    }

    @Override
    public void received(Link link, Message message) {
        if (message instanceof TableRequest request) {
            answer(link, request);
        } else if (message instanceof TableUpdate update) {
            table.takeSnapshot(update.offset(), update.snapshot());
        } else {
            if (message instanceof Heartbeat beat) {
                heard(link, beat);
            }
            handOver(link, message);
        }
    }

    private void heard(Link link, Heartbeat beat) {
        agents.heard(link, beat);
        if (beat.tableOffset() > table.current().offset()) {
            link.send(new TableRequest(table.current().offset()));
        }
    }

    /**
     * A message that finds the ring full cannot be refused to its sender. Dropped silently, a result would be lost
     * while its link lives, and its call would wait until the deadline; so the link is closed, and all that is in
     * flight on it is settled by asking.
     */
    private void handOver(Link link, Message message) {
        boolean taken = router.run(now -> router.received(link, message, now));
        if (!taken && !(message instanceof Heartbeat)) {
            link.close("the router is overloaded");
        }
    }

    @Override
    public void closed(Link link, String why) {
        agents.closed(link);
        router.must(now -> router.closed(link, why, now));
    }

    private void answer(Link link, TableRequest request) {
        if (table.isReady() && table.current().offset() > request.above()) {
            link.send(new TableUpdate(table.current().offset(), table.snapshotAbove(request.above())));
        }
    }
}
