package org.cornelramp.systemtests;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.fleet.JsonHttp;
import org.cornelramp.core.text.Tokenizer;
import org.cornelramp.standins.engine.ModelMath;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Sends requests from a caller through an entry and agents to engines and services, all as separate processes. */
public class WholePathTest {
    private Fleet fleet;

    @BeforeClass
    public void start() {
        fleet = Fleet.start(FleetActions.checkoutRoot(), FleetPlan.small());
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @Test
    public void aModelRequestGetsTheTokensOfAnUndisturbedRun() {
        JsonHttp.Answer answer = FleetActions.chat(fleet, fleet.member("entry-0"), 0, "a sofa and two chairs", 12);

        assertEquals(answer.status(), 200, answer.body());
        String text = fleet.http()
                .read(answer.body())
                .at("/choices/0/message/content")
                .asText();
        assertEquals(text, expected("a sofa and two chairs", 12));
    }

    @Test
    public void aBookingSentTwiceAtTwoEntriesTakesEffectOnce() {
        String key = FleetActions.mintKey(fleet, fleet.member("entry-0"), 1);
        JsonHttp.Answer first = FleetActions.book(fleet, fleet.member("entry-0"), 1, key, "{\"item\":\"sofa\"}");
        JsonHttp.Answer second = FleetActions.book(fleet, fleet.member("entry-1"), 1, key, "{\"item\":\"sofa\"}");

        assertEquals(first.status(), 200, first.body());
        assertEquals(second.body(), first.body());
        assertEquals(FleetActions.effectCount(fleet, key), 1);
    }

    private static String expected(String prompt, int count) {
        long[] tokens = ModelMath.generate(Tokenizer.encode(List.of(prompt)), FleetActions.layers(), count);
        StringBuilder text = new StringBuilder();
        for (long token : tokens) {
            text.append(Tokenizer.decode((int) token));
        }
        return text.toString();
    }
}
