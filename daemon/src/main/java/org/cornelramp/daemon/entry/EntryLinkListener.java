package org.cornelramp.daemon.entry;

import org.cornelramp.daemon.table.TableSource;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.link.LinkListener;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.Message;
import org.cornelramp.wire.message.TableRequest;
import org.cornelramp.wire.message.TableUpdate;

/**
 * Forwards link events and messages to the router.
 *
 * <p>Called on the network thread. Invariant: every link whose opening reached the router has its end reported to the
 * router.
 */
final class EntryLinkListener implements LinkListener {
    private final Router router;
    private final TableSource table;
    private final LinkedAgents agents;

    EntryLinkListener(Router router, TableSource table, LinkedAgents agents) {
        this.agents = agents;
        this.router = router;
        this.table = table;
    }

    @Override
    public void opened(Link link) {
        agents.linkOpened(link);
        if (!router.tryRun(now -> router.linkOpened(link, now))) {
            link.close("the router is overloaded");
        }
    }

    @Override
    public void received(Link link, Message message) {
        if (message instanceof TableRequest request) {
            answerTableRequest(link, request);
        } else if (message instanceof TableUpdate update) {
            table.applySnapshot(update.offset(), update.snapshot());
        } else {
            if (message instanceof Heartbeat heartbeat) {
                heartbeatReceived(link, heartbeat);
            }
            forwardToRouter(link, message);
        }
    }

    private void heartbeatReceived(Link link, Heartbeat heartbeat) {
        agents.heartbeatReceived(link, heartbeat);
        if (heartbeat.tableOffset() > table.current().offset()) {
            link.send(new TableRequest(table.current().offset()));
        }
    }

    /**
     * Forwards a message, or closes the link when the router's ring is full. There is no way to refuse a message to its
     * sender. If it were dropped, a result would be lost while its link stays open, and its call would wait until the
     * deadline. Closing the link makes the router resolve all requests in flight on it by asking the agent. Dropped
     * heartbeats are harmless.
     */
    private void forwardToRouter(Link link, Message message) {
        boolean accepted = router.tryRun(now -> router.messageReceived(link, message, now));
        if (!accepted && !(message instanceof Heartbeat)) {
            link.close("the router is overloaded");
        }
    }

    @Override
    public void closed(Link link, String why) {
        agents.linkClosed(link);
        router.runReliably(now -> router.linkClosed(link, why, now));
    }

    private void answerTableRequest(Link link, TableRequest request) {
        if (table.isReady() && table.current().offset() > request.above()) {
            link.send(new TableUpdate(table.current().offset(), table.snapshotAbove(request.above())));
        }
    }
}
