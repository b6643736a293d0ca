package org.cornelramp.gateway.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cornelramp.gateway.TestServers;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.gateway.route.CutAnswer.Fate;
import org.cornelramp.gateway.route.CutAnswer.Kind;
import org.cornelramp.gateway.route.CutAnswer.Scenario;
import org.cornelramp.gateway.route.FakeHttpClient.Framing;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.cornelramp.platform.standin.StandInConfig;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Answers whose connection ends after each number of bytes. The client gets the whole answer, or can see that it is
 * broken; it gets the whole one if the server lives and has sent it, or if the request may be repeated.
 */
public class CutAnswerTest {
    private static final int SHOWN = 3;
    private static final int ENDS = 100;

    /** Ticks after which the client has the end of a whole answer. */
    private static final int TICKS_TO_END = 10;

    private static final byte[] EVENT = "id: 0\ndata: x\n\n".getBytes(StandardCharsets.UTF_8);

    private static List<Scenario> scenarios() {
        List<Scenario> all = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            List<Framing> framings = kind.isStream()
                    ? List.of(Framing.CHUNKED, Framing.UNFRAMED)
                    : List.of(Framing.CHUNKED, Framing.LENGTH, Framing.UNFRAMED);
            for (Framing framing : framings) {
                for (Fate fate : Fate.values()) {
                    for (int engines = 1; engines <= (kind.isStream() ? 2 : 1); engines++) {
                        all.add(new Scenario(kind, framing, fate, engines));
                    }
                }
            }
        }
        return all;
    }

    private static Iterator<Object[]> rows(Predicate<Scenario> filter) {
        return scenarios().stream()
                .filter(filter)
                .map(scenario -> new Object[] {scenario})
                .iterator();
    }

    /** Whether the end of the connection looks like that of the answer although the server has ended. */
    private static boolean looksComplete(Scenario scenario) {
        return scenario.framing() == Framing.UNFRAMED && scenario.fate().isUnheard();
    }

    @DataProvider
    public static Iterator<Object[]> ends() {
        return rows(scenario -> !looksComplete(scenario));
    }

    @DataProvider
    public static Iterator<Object[]> crashesThatLookLikeEnds() {
        return rows(CutAnswerTest::looksComplete);
    }

    /** Guards against an answer that looks complete although a part is missing, or that is late, doubled or lost. */
    @Test(dataProvider = "ends")
    public void answerIsWholeOrVisiblyBroken(Scenario scenario) {
        assertNoFaults(scenario);
    }

    /** Guards against an unframed answer that is taken for complete when its server crashes, which closes it in order. */
    @Test(dataProvider = "crashesThatLookLikeEnds")
    public void unframedAnswerOfACrashedServerIsWholeOrVisiblyBroken(Scenario scenario) {
        assertNoFaults(scenario);
    }

    /**
     * Guards against the ends of whole unframed answers that wait because their server has just been asked about an
     * earlier one.
     */
    @Test
    public void endsInQuickSuccessionAreNotHeldBack() {
        RouterSimulation router = new RouterSimulation(StandInConfig.small(1), "", 1);
        router.register(RouterSimulation.engine("e1", 11, 0, 8));
        router.register(TestServers.plain("p1", 31));
        List<FakeClient> clients = new ArrayList<>();
        for (int i = 0; i < ENDS; i++) {
            clients.add(router.request(i % 2 == 0 ? "/chat/a" : "/look/a", "r" + i));
            FakeHttpClient.Call call = router.calls().get(i);
            call.setFraming(Framing.UNFRAMED);
            call.begin(HeaderFixtures.answer("r" + i), EVENT, EVENT.length);
            router.settle();
            call.close();
            router.settle();
            router.tick();
            router.settle();
            if (i >= TICKS_TO_END) {
                assertTrue(clients.get(i - TICKS_TO_END).isComplete(), "answer " + (i - TICKS_TO_END));
            }
        }
        router.run(TICKS_TO_END * RequestRouter.TICK_MILLIS);
        assertEquals(clients.stream().filter(FakeClient::isComplete).count(), ENDS);
        assertEquals(router.calls().size(), ENDS, "each request has run once");
    }

    private static void assertNoFaults(Scenario scenario) {
        int positions = CutAnswer.lastPosition(scenario.kind()) - CutAnswer.BEFORE_HEAD + 1;
        List<String> faults = IntStream.range(0, positions)
                .mapToObj(index -> new CutAnswer(scenario, CutAnswer.BEFORE_HEAD + index).run())
                .flatMap(fault -> fault.<Stream<String>>map(Stream::of).orElseGet(Stream::empty))
                .toList();
        String shown = String.join("\n", faults.subList(0, Math.min(SHOWN, faults.size())));
        assertEquals(faults.size(), 0, scenario + ", faults of " + positions + " positions, e.g.\n" + shown + "\n");
    }
}
