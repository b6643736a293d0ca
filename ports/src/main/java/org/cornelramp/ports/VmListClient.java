package org.cornelramp.ports;

import java.util.concurrent.CompletableFuture;

/** Reads the platform's VM list, which lags. Safe for use by any thread. */
public interface VmListClient {

    /** Gives the list as the platform shows it now; fails with {@link PlatformException}. */
    CompletableFuture<VmList> list();
}
