package org.cornelramp.wire.codec;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
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

/**
 * The byte that identifies the type of a message in a frame. A number is never reassigned to another message, so that
 * an older reader rejects an unknown message instead of misreading it.
 */
public enum MessageType {
    HELLO(1, Hello.class),
    HEARTBEAT(2, Heartbeat.class),
    TABLE_REQUEST(3, TableRequest.class),
    TABLE_UPDATE(4, TableUpdate.class),
    DRAIN(5, Drain.class),
    BEAT(6, Beat.class),
    INVOKE(10, Invoke.class),
    INVOKE_RESULT(11, InvokeResult.class),
    SETTLE(12, Settle.class),
    SETTLED(13, Settled.class),
    OPEN_STAGE(20, OpenStage.class),
    STAGE_OPENED(21, StageOpened.class),
    STAGE_REFUSED(22, StageRefused.class),
    SEND_FROM(23, SendFrom.class),
    STEP(24, Step.class),
    TOKEN(25, Token.class),
    STAGE_LOST(26, StageLost.class),
    CLOSE_STAGE(27, CloseStage.class),
    EXPORT_STAGE(28, ExportStage.class),
    STAGE_EXPORTED(29, StageExported.class),
    ORDER(40, Order.class),
    ORDER_RESULT(41, OrderResult.class);

    private static final Map<Integer, MessageType> BY_NUMBER = new HashMap<>();
    private static final Map<Class<?>, MessageType> BY_CLASS = new HashMap<>();

    static {
        for (MessageType type : values()) {
            BY_NUMBER.put(type.number, type);
            BY_CLASS.put(type.messageClass, type);
        }
    }

    private final int number;
    private final Class<? extends Message> messageClass;

    MessageType(int number, Class<? extends Message> messageClass) {
        this.number = number;
        this.messageClass = messageClass;
    }

    /** The type byte in the frame, 1 to 127. */
    public int number() {
        return number;
    }

    /** The message class. */
    public Class<? extends Message> messageClass() {
        return messageClass;
    }

    /** The type with this byte; empty if this version knows none. */
    public static Optional<MessageType> of(int number) {
        return Optional.ofNullable(BY_NUMBER.get(number));
    }

    /** The type of a message. */
    public static MessageType of(Message message) {
        return BY_CLASS.get(message.getClass());
    }
}
