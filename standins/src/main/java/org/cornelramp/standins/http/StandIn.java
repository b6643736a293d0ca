package org.cornelramp.standins.http;

import java.util.concurrent.CompletableFuture;

/** Behaviour of one kind of stand-in. {@link StandInServer} applies the fault switches that all kinds share. */
public interface StandIn {

    /** Name of the kind, as printed in the {@code ready} line. */
    String kind();

    /** Handles a call. Called by any thread; must not block for long. */
    CompletableFuture<Reply> handle(Call call);

    /** Whether a call halts the process while the {@code crash-on} switch is set to this text. */
    default boolean crashesOn(Call call, String text) {
        return call.bodyText().contains(text);
    }

    /** Called after fault switches have been set. */
    default void faultsChanged() {}

    /** Stops the threads of the stand-in. */
    default void stop() {}
}
