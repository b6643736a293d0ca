package org.cornelramp.wire.message;

/**
 * One message between two processes of the system; the frame codec writes it as a MessagePack map.
 *
 * <p>A reader ignores fields that it does not know and refuses types that it does not know, so a fleet of
 * neighbouring versions works together. Immutable, safe for use by any thread.
 */
public sealed interface Message
        permits Hello,
                Heartbeat,
                Beat,
                TableRequest,
                TableUpdate,
                Invoke,
                InvokeResult,
                Settle,
                Settled,
                OpenStage,
                StageOpened,
                StageRefused,
                SendFrom,
                Step,
                Token,
                StageLost,
                CloseStage,
                ExportStage,
                StageExported,
                Drain,
                Order,
                OrderResult {}
