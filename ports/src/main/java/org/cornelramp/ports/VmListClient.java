package org.cornelramp.ports;

import java.util.concurrent.CompletableFuture;

/** Reads the platform's VM list, which may be out of date. Safe for use by any thread. */
public interface VmListClient {

    /** Returns the list that the platform currently publishes; fails with {@link PlatformException}. */
    CompletableFuture<VmList> list();
}
