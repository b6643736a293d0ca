package org.cornelramp.bench.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.IntNode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.ports.EngineClient;
import org.cornelramp.ports.EngineKv;
import org.cornelramp.ports.EngineOrder;
import org.cornelramp.ports.EngineStep;
import org.cornelramp.ports.EngineStepResult;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogPage;
import org.cornelramp.ports.LogStream;
import org.cornelramp.ports.PlatformException;
import org.cornelramp.ports.ServiceCall;
import org.cornelramp.ports.ServiceReply;
import org.cornelramp.ports.VmList;
import org.cornelramp.ports.WeightStoreClient;
import org.cornelramp.standins.engine.EngineOptions;
import org.cornelramp.standins.engine.EngineStandIn;
import org.cornelramp.standins.engine.ModelMath;
import org.cornelramp.standins.log.LogStandIn;
import org.cornelramp.standins.service.ServiceOptions;
import org.cornelramp.standins.service.ServiceStandIn;
import org.cornelramp.standins.vms.VmsStandIn;
import org.cornelramp.standins.weights.WeightsStandIn;
import org.testng.annotations.Test;

/** The platform clients and the stand-ins must agree on every interface, with and without faults. */
public class PlatformContractTest {
    private static final int LAYERS = 6;
    private static final double MANY_APPENDS = 100_000;

    @Test
    public void appendedRecordsAreReadInOrder() throws Exception {
        try (StandInFixture fixture = log(MANY_APPENDS)) {
            LogClient log = fixture.platform().log(fixture.url());
            assertEquals(log.append(LogStream.SET_ASIDE, records(1, 2)).join(), Long.valueOf(0));
            CompletableFuture<LogPage> waiting = log.read(LogStream.SET_ASIDE, 2, 10, 5_000);
            assertEquals(log.append(LogStream.SET_ASIDE, records(3)).join(), Long.valueOf(2));
            assertEquals(waiting.join().records().get(0).value().asInt(), 3);
            LogPage page = log.read(LogStream.SET_ASIDE, 1, 1, 0).join();
            assertEquals(page.next(), 3);
            assertEquals(page.records().size(), 1);
            assertEquals(page.records().get(0).offset(), 1);
            assertEquals(log.bounds(LogStream.TABLE).join().next(), 0);
        }
    }

    @Test
    public void recordsPastRetentionAreGone() throws Exception {
        try (StandInFixture fixture = log(MANY_APPENDS)) {
            LogClient log = fixture.platform().log(fixture.url());
            log.append(LogStream.KEYS, records(1, 2, 3)).join();
            fixture.fault("drop-older-than", "2");
            assertEquals(kindOf(log.read(LogStream.KEYS, 0, 10, 0)), PlatformException.Kind.GONE);
            assertEquals(log.bounds(LogStream.KEYS).join().oldest(), 2);
        }
    }

    @Test
    public void appendWithALostAnswerTookEffect() throws Exception {
        try (StandInFixture fixture = log(MANY_APPENDS)) {
            LogClient log = fixture.platform().log(fixture.url());
            fixture.fault("lose-answers", "1");
            assertEquals(kindOf(log.append(LogStream.TABLE, records(1))), PlatformException.Kind.ANSWER_LOST);
            assertEquals(log.bounds(LogStream.TABLE).join().next(), 1);
        }
    }

    @Test
    public void outageAndRateAreRefusals() throws Exception {
        try (StandInFixture fixture = log(1)) {
            LogClient log = fixture.platform().log(fixture.url());
            log.append(LogStream.TABLE, records(1)).join();
            assertEquals(kindOf(log.append(LogStream.TABLE, records(1))), PlatformException.Kind.REFUSED);
            fixture.fault("outage", "true");
            assertEquals(kindOf(log.bounds(LogStream.TABLE)), PlatformException.Kind.REFUSED);
            fixture.fault("outage", "");
            assertEquals(log.bounds(LogStream.TABLE).join().next(), 1);
        }
    }

    @Test
    public void connectionsThatGoSilentCostOneCall() throws Exception {
        try (StandInFixture fixture = log(MANY_APPENDS)) {
            LogClient log = fixture.platform().log(fixture.url());
            log.bounds(LogStream.TABLE).join();
            fixture.fault("go-silent", "true");
            assertEquals(kindOf(log.append(LogStream.TABLE, records(1))), PlatformException.Kind.ANSWER_LOST);
            assertEquals(log.bounds(LogStream.TABLE).join().next(), 0);
        }
    }

    @Test
    public void stagesGenerateWhatTheCheckersExpect() throws Exception {
        long[] prompt = {17, 4, 99};
        try (StandInFixture first = engine(0, 2);
                StandInFixture second = engine(2, LAYERS)) {
            EngineClient a = first.platform().engine(first.url());
            EngineClient b = second.platform().engine(second.url());
            assertEquals(b.offer().join().layers(), Optional.of(new LayerRange(2, LAYERS, LAYERS)));
            long[] tokens = step(b, 0, step(a, 0, prompt));
            long[] expected = ModelMath.generate(prompt, LAYERS, 2);
            assertEquals(tokens[2], expected[0]);
            EngineKv kv = b.exportKv(1).join();
            b.cancel(1).join();
            assertEquals(kindOf(b.exportKv(1)), PlatformException.Kind.GONE);
            b.importKv(1, kv).join();
            assertEquals(step(b, 3, step(a, 3, expected[0]))[0], expected[1]);
            assertTrue(second.trace().eventsFrom(0).next() >= 2);
        }
    }

    @Test
    public void orderOfAnOlderTermIsRefusedByAnEngineThatChecks() throws Exception {
        try (StandInFixture fixture = engine(0, LAYERS)) {
            EngineClient engine = fixture.platform().engine(fixture.url());
            engine.order(new EngineOrder(5, EngineOrder.Kind.SET_VERSION, "2")).join();
            assertEquals(
                    kindOf(engine.order(new EngineOrder(4, EngineOrder.Kind.SET_VERSION, "1"))),
                    PlatformException.Kind.REFUSED);
            assertEquals(engine.offer().join().version(), "2");
            assertEquals(engine.cacheEvents(0).join().events(), List.of());
            assertEquals(engine.load().join().kvLimit(), 1_000);
        }
    }

    @Test
    public void bookingIsTracedAndEchoed() throws Exception {
        ServiceOptions options = new ServiceOptions("booking", "1", 1, 2);
        try (StandInFixture fixture = new StandInFixture(
                (faults, trace, clock, timer) -> new ServiceStandIn(faults, trace, clock, timer, options, "life-1"))) {
            byte[] body = "{\"sofa\":1}".getBytes(StandardCharsets.UTF_8);
            ServiceReply reply = fixture.platform()
                    .service(fixture.url())
                    .call(new ServiceCall("POST", "/book", "application/json", body, Optional.of("k9"), "r9", 5_000))
                    .join();
            JsonNode answer = new ObjectMapper().readTree(reply.body());
            assertEquals(answer.path("key").asText(), "k9");
            assertEquals(answer.path("requestId").asText(), "r9");
            assertEquals(answer.path("digest").asText(), ServiceStandIn.digest(body));
            assertEquals(fixture.trace().eventsFrom(0).next(), 1);
            assertFalse(fixture.platform()
                    .service(fixture.url())
                    .offer()
                    .join()
                    .layers()
                    .isPresent());
        }
    }

    @Test
    public void vmListShowsWhatWasSet() throws Exception {
        try (StandInFixture fixture = new StandInFixture((faults, trace, clock, timer) -> new VmsStandIn(clock, 0))) {
            fixture.put(
                    "/v1/vms",
                    "[{\"vm\":\"b1\",\"role\":\"agent\",\"address\":\"127.0.0.1:7\",\"dataCentre\":\"d1\",\"state\":\"leaving\"}]");
            VmList list = fixture.platform().vmList(fixture.url()).list().join();
            assertEquals(list.vms().get(0).state(), VmList.State.LEAVING);
            assertEquals(list.vms().get(0).address().port(), 7);
        }
    }

    @Test
    public void weightStoreRefusesOverItsRate() throws Exception {
        try (StandInFixture fixture =
                new StandInFixture((faults, trace, clock, timer) -> new WeightsStandIn(clock, trace, 0.1))) {
            WeightStoreClient store = fixture.platform().weightStore(fixture.url());
            assertTrue(store.load("m", "1").join() > 0);
            assertEquals(kindOf(store.load("m", "1")), PlatformException.Kind.REFUSED);
        }
    }

    private static StandInFixture log(double appendsPerSecond) throws Exception {
        return new StandInFixture(
                (faults, trace, clock, timer) -> new LogStandIn(faults, clock, timer, 0, appendsPerSecond));
    }

    private static StandInFixture engine(int from, int to) throws Exception {
        EngineOptions options =
                new EngineOptions("m", new LayerRange(from, to, LAYERS), "1", "a", 4, 100, 1, 1_000, true, 0);
        return new StandInFixture(
                (faults, trace, clock, timer) -> new EngineStandIn(options, faults, trace, clock, timer, "life-1"));
    }

    private static long[] step(EngineClient engine, int position, long... inputs) {
        EngineStepResult result = engine.steps(List.of(new EngineStep("0000000000000001", position, inputs, 0, 1)))
                .join()
                .results()
                .get(0);
        return result.outputs().orElseThrow();
    }

    private static List<JsonNode> records(int... values) {
        return Arrays.stream(values)
                .mapToObj(IntNode::valueOf)
                .map(JsonNode.class::cast)
                .toList();
    }

    private static PlatformException.Kind kindOf(CompletableFuture<?> future) {
        CompletionException failure = expectThrows(CompletionException.class, future::join);
        return ((PlatformException) failure.getCause()).kind();
    }
}
