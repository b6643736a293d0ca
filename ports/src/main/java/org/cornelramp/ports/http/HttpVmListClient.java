package org.cornelramp.ports.http;

import java.util.concurrent.CompletableFuture;
import org.cornelramp.ports.VmList;
import org.cornelramp.ports.VmListClient;
import org.eclipse.jetty.http.HttpMethod;

/** Client of the VM list over HTTP. Safe for use by any thread. */
final class HttpVmListClient implements VmListClient {
    private final HttpCalls calls;

    HttpVmListClient(HttpCalls calls) {
        this.calls = calls;
    }

    @Override
    public CompletableFuture<VmList> list() {
        return calls.sendJson(calls.request(HttpMethod.GET, "/v1/vms"), calls.answerMillis(), VmList.class);
    }
}
