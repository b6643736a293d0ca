package org.cornelramp.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogPage;
import org.cornelramp.ports.LogStream;
import org.cornelramp.ports.PlatformException;

/** One entry's access to a log that is shared by several entries. Its reads can be made to fail separately. */
final class FakeLogView implements LogClient {
    volatile boolean readsFail;
    private final FakeLog log;

    FakeLogView(FakeLog log) {
        this.log = log;
    }

    @Override
    public CompletableFuture<Long> append(LogStream stream, List<JsonNode> records) {
        return log.append(stream, records);
    }

    @Override
    public CompletableFuture<LogPage> read(LogStream stream, long from, int max, long waitMillis) {
        if (readsFail) {
            return CompletableFuture.failedFuture(
                    new PlatformException(PlatformException.Kind.ANSWER_LOST, "Held back by the test", 0));
        }
        return log.read(stream, from, max, waitMillis);
    }

    @Override
    public CompletableFuture<LogPage> bounds(LogStream stream) {
        return log.bounds(stream);
    }
}
