package org.cornelramp.daemon.agent;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.node.TextNode;
import java.util.List;
import org.cornelramp.core.model.OrderKind;
import org.cornelramp.ports.LogStream;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.Order;
import org.cornelramp.wire.message.OrderOutcome;
import org.cornelramp.wire.message.OrderResult;
import org.testng.annotations.Test;

/**
 * Guards against an outdated order taking effect at an engine that ignores terms. The holder of term 0 is paused while
 * term 1 is claimed and used, and then sends its order. The agent refuses it, even if the agent was restarted in
 * between and has lost its record of earlier orders.
 */
public class StaleOrderTest {

    @Test
    public void anAgentThatWasRestartedRefusesAnOldTerm() throws Exception {
        FakeLog log = new FakeLog();
        log.setDown(true);
        try (TestAgent agent = TestAgent.engine("gpu-1", log);
                TestEntry entry = new TestEntry("entry-1")) {
            Link link = entry.link(agent);
            assertEquals(order(entry, link, 0), OrderOutcome.NOT_READY);

            log.setDown(false);
            log.append(LogStream.TERMS, List.of(new TextNode("claim"), new TextNode("claim")))
                    .join();
            TestEntry.await(() -> entry.lastHeartbeat(agent).term() == 1);
            assertEquals(order(entry, link, 0), OrderOutcome.STALE);
            assertEquals(order(entry, link, 1), OrderOutcome.TAKEN);
            assertEquals(order(entry, link, 0), OrderOutcome.STALE);
            assertEquals(agent.engine.orders.size(), 1);
        }
    }

    private static OrderOutcome order(TestEntry entry, Link link, long term) throws InterruptedException {
        link.send(new Order(term, term, OrderKind.SET_VERSION, "v" + term));
        return entry.next(OrderResult.class).outcome();
    }
}
