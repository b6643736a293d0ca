package org.cornelramp.wire.codec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.Offer;
import org.cornelramp.core.model.OrderKind;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.wire.message.Beat;
import org.cornelramp.wire.message.CloseStage;
import org.cornelramp.wire.message.Drain;
import org.cornelramp.wire.message.ExportStage;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.Hello;
import org.cornelramp.wire.message.Invoke;
import org.cornelramp.wire.message.InvokeResult;
import org.cornelramp.wire.message.Message;
import org.cornelramp.wire.message.OpenStage;
import org.cornelramp.wire.message.Order;
import org.cornelramp.wire.message.OrderOutcome;
import org.cornelramp.wire.message.OrderResult;
import org.cornelramp.wire.message.SendFrom;
import org.cornelramp.wire.message.Settle;
import org.cornelramp.wire.message.Settled;
import org.cornelramp.wire.message.StageExported;
import org.cornelramp.wire.message.StageLost;
import org.cornelramp.wire.message.StageOpened;
import org.cornelramp.wire.message.StageRefused;
import org.cornelramp.wire.message.Step;
import org.cornelramp.wire.message.TableRequest;
import org.cornelramp.wire.message.TableUpdate;
import org.cornelramp.wire.message.Token;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Every message type survives being written to a frame and read back. */
public class FrameRoundTripTest {
    private static final int MAX = 1 << 20;
    private static final Incarnation INCARNATION = new Incarnation(new BackendServerId("gpu-1"), -3);
    private static final OrganisationId ORG = new OrganisationId("ward");

    @DataProvider
    public Object[] messages() {
        Offer offer = new Offer(new ServiceName("quote"), Optional.of(new LayerRange(0, 8, 24)), "1", "fast", 16);
        byte[] bytes = {0, 1, -1};
        return new Object[] {
            new Hello("gpu-1", false, INCARNATION, new DataCentre("dc-1"), Optional.of(offer), "127.0.0.1:7070"),
            new Heartbeat(
                    AgentState.LEAVING,
                    new AgentLoad(1, 2, 3, 4.5, 6, 7),
                    Optional.of(offer),
                    8,
                    9,
                    List.of("a"),
                    List.of(),
                    Map.of("ward/quote", 2.5),
                    Map.of()),
            new TableRequest(Long.MAX_VALUE),
            new TableUpdate(3, bytes),
            new Drain("operator"),
            new Beat(),
            new Invoke(
                    1,
                    "r",
                    ORG,
                    false,
                    Optional.of("k"),
                    Optional.of(INCARNATION),
                    0,
                    900,
                    "POST",
                    "/b",
                    "t/x",
                    bytes,
                    "f"),
            new InvokeResult(1, Outcome.NOT_RUN, Optional.of(ProblemKind.OVERLOADED), "full", 20, 0, "", new byte[0]),
            new Settle(2, "k", INCARNATION, true),
            new Settled(2),
            new OpenStage(
                    -5,
                    1,
                    "r",
                    ORG,
                    new ServiceName("quote"),
                    0,
                    List.of("127.0.0.1:1"),
                    List.of(INCARNATION),
                    3,
                    9,
                    0,
                    800,
                    "f",
                    Optional.of(bytes)),
            new StageOpened(-5, 1, 0, 4),
            new StageRefused(-5, 1, 0, ProblemKind.LEAVING, "stopping", 0),
            new SendFrom(-5, 1, 2),
            new Step(-5, 1, 2, new long[] {Long.MIN_VALUE, 7}),
            new Token(-5, 1, 2, new int[] {0, 9}),
            new StageLost(-5, 1, 0, ProblemKind.BACKEND_LOST, "gone"),
            new CloseStage(-5, 1),
            new Order(1, 7, OrderKind.SET_VERSION, "2"),
            new OrderResult(1, OrderOutcome.STALE, 8, "older"),
            new ExportStage(-5, 1),
            new StageExported(-5, 1, 0, 4, Optional.empty())
        };
    }

    @Test(dataProvider = "messages")
    public void readsBackWhatItWrote(Message message) throws FrameException {
        FrameReader reader = new FrameReader(MAX);
        ByteBuffer frame = new FrameWriter(MAX).write(message);
        byte[] first = new byte[5];
        frame.get(first);
        reader.feed(ByteBuffer.wrap(first));
        assertTrue(reader.next().isEmpty());
        reader.feed(frame);
        Message read = reader.next().orElseThrow();
        assertEquals(new FrameWriter(MAX).write(read), new FrameWriter(MAX).write(message));
        assertEquals(read.getClass(), message.getClass());
    }

    @Test
    public void coversEveryType() {
        assertEquals(messages().length, MessageType.values().length);
    }
}
