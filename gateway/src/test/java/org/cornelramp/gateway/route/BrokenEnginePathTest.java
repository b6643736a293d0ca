package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.gateway.GatewayFixture;
import org.cornelramp.platform.PlatformFault;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Where streams go when their first engine, which holds all layers, has closed their connections and has not been probed
 * yet. Of the other engines, one holds the first half of the layers and one in another data centre the second half.
 */
public class BrokenEnginePathTest {
    private static final int STREAMS = 6;
    private static final int FIRST_HALF_PORT = 12;

    private final BackendServer broken = RouterSimulation.engine("a1", 11, 0, 8);
    private RouterSimulation router;

    @BeforeMethod
    public void startStreams() {
        router = new RouterSimulation(StandInConfig.small(1), GatewayFixture.MANY_RETRIES, 1);
        router.register(broken);
        for (int i = 0; i < STREAMS; i++) {
            router.request("/chat/a", "r" + i);
        }
        router.register(RouterSimulation.engine("b1", FIRST_HALF_PORT, 0, 4));
        assertEquals(router.calls().size(), STREAMS);
        for (int i = 0; i < STREAMS; i++) {
            router.calls().get(i).events("r" + i, "id: 0\ndata: x\n\n");
        }
        router.settle();
    }

    /** Breaks the streams; the results of probes are not handled yet. */
    private void breakStreams() {
        for (FakeHttpClient.Call call : List.copyOf(router.calls())) {
            call.reset();
            while (router.handleNext()) {
                assertTrue(router.queued() < STREAMS);
            }
        }
    }

    private List<String> laterPaths() {
        return router.logLines().stream()
                .filter(line -> line.contains("\"sent\""))
                .skip(STREAMS)
                .map(line -> line.replaceAll(".*\"path\":\"([^\"]*)\".*", "$1"))
                .toList();
    }

    /**
     * Guards against retries by which the crashed engine is used again, as a later engine: each of them waits until its
     * work has stalled and consumes a retry in vain.
     */
    @Test
    public void retriesAvoidTheEngineAsALaterOne() {
        router.register(RouterSimulation.engine("c1", 13, "dc2", 4, 8));
        breakStreams();
        assertEquals(laterPaths(), Collections.nCopies(STREAMS, "b1=0-4,c1=4-8"));
    }

    /** Guards against streams that wait, or end, since the only engine with some layers has closed a connection. */
    @Test
    public void onlyHolderOfLayersIsStillUsed() {
        breakStreams();
        List<String> paths = laterPaths();
        assertEquals(paths.size(), STREAMS);
        assertTrue(paths.stream().allMatch(path -> path.contains("a1=")), paths.toString());
    }

    /** Guards against a living engine that is avoided after it has answered a probe. */
    @Test
    public void engineThatAnswersIsUsedAgain() {
        router.register(RouterSimulation.engine("c1", 13, "dc2", 4, 8));
        router.setReportFaults(engine -> Optional.empty());
        router.calls().get(0).reset();
        router.settle();
        router.request("/chat/a", "next");
        List<String> paths = laterPaths();
        assertTrue(paths.get(paths.size() - 1).contains("a1="), paths.toString());
    }

    /** Guards against an engine that is used again after the doubt has ended, though nothing listens there. */
    @Test
    public void crashedEngineStaysAvoided() {
        router.register(RouterSimulation.engine("c1", 13, "dc2", 4, 8));
        router.setReportFaults(engine -> engine.equals(broken)
                ? Optional.of(new PlatformFault(PlatformFault.Kind.NOT_LISTENING, "Connection refused"))
                : Optional.empty());
        breakStreams();
        router.run(1_500);
        router.request("/chat/a", "next");
        List<String> paths = laterPaths();
        assertEquals(paths.get(paths.size() - 1), "b1=0-4,c1=4-8");
    }
}
