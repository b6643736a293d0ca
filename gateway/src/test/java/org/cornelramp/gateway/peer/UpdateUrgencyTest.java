package org.cornelramp.gateway.peer;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import java.util.Set;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.retry.RepeatNews;
import org.testng.annotations.Test;

/** Which news go to all peers at once. */
public class NewsUrgencyTest {
    private static final ServiceName SERVICE = new ServiceName("llm");

    private static PeerNews news(Set<BackendServerId> suspects, Map<ServiceName, RepeatNews.Ask> asks) {
        PeerNews.Sender sender = new PeerNews.Sender("g1", 1, new DataCentre("dc1"));
        return PeerNews.of(sender, 1, false, Map.of(), 0, Map.of(), suspects, new RepeatNews(asks, Map.of()));
    }

    /**
     * Guards against begun streams that wait for turns: forty of them lose an engine at a gateway with ten repeats, and most
     * of its peers, which have some, hear of it after half a second.
     */
    @Test
    public void anAskForRepeatsIsUrgentOnce() {
        NewsUrgency urgency = new NewsUrgency();
        Map<ServiceName, RepeatNews.Ask> first = Map.of(SERVICE, new RepeatNews.Ask(1, 30));
        assertEquals(urgency.isUrgent(news(Set.of(), Map.of())), false);
        assertEquals(urgency.isUrgent(news(Set.of(), first)), true);
        assertEquals(urgency.isUrgent(news(Set.of(), first)), false);
        assertEquals(urgency.isUrgent(news(Set.of(), Map.of(SERVICE, new RepeatNews.Ask(2, 5)))), true);
    }

    /** Guards against peers that send work to a dead server until their turn comes. */
    @Test
    public void aNewSuspectIsUrgentOnce() {
        NewsUrgency urgency = new NewsUrgency();
        Set<BackendServerId> suspects = Set.of(new BackendServerId("i-1"));
        assertEquals(urgency.isUrgent(news(suspects, Map.of())), true);
        assertEquals(urgency.isUrgent(news(suspects, Map.of())), false);
    }
}
