package org.cornelramp.standins.http;

import java.util.concurrent.CompletableFuture;

/** What one kind of stand-in does with a call; the server around it does the faults. */
public interface StandIn {

    /** Kind, as the first line of output names it. */
    String kind();

    /** Handles a call; called by any thread, must not block for long. */
    CompletableFuture<Reply> handle(Call call);

    /** Whether the {@code crash-on} switch, set to this text, halts the process on a call. */
    default boolean crashesOn(Call call, String text) {
        return call.text().contains(text);
    }

    /** Called after fault switches have been set. */
    default void faultsChanged() {}

    /** Ends threads of the stand-in. */
    default void stop() {}
}
