package org.cornelramp.gateway.follow;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.platform.MetadataStore;
import org.cornelramp.platform.PendingCall;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;

/**
 * Reads the store's records from a peer while the store turns this process away.
 *
 * <p>The store may refuse some machines for many seconds and serve the others; meanwhile engines are replaced, and a
 * gateway that does not hear of it sends its requests to engines that are gone. Records from a peer are a little
 * older, and their offsets tell which is newer, so they never undo what the store itself said. Safe for use by any
 * thread; calls block.
 */
public final class PeerRecords {
    private static final long TIMEOUT_MILLIS = 250;
    private static final int MOST_PEERS = 2;
    private static final int OK = 200;

    private final HttpClient http;
    private final int port;
    private final Supplier<List<HostPort>> peers;

    /** @param port port on which every gateway answers its peers */
    public PeerRecords(HttpClient http, int port, Supplier<List<HostPort>> peers) {
        this.http = http;
        this.port = port;
        this.peers = peers;
    }

    /** The newest records of a topic; empty if no peer that was asked has read them lately. */
    Optional<RecordCache.Part> read(MetadataStore.Topic topic) {
        List<HostPort> some = new ArrayList<>(peers.get());
        Collections.shuffle(some);
        for (HostPort peer : some.subList(0, Math.min(MOST_PEERS, some.size()))) {
            Optional<RecordCache.Part> part = ask(new HostPort(peer.host(), port), topic, 0, -1);
            if (part.isPresent()) {
                return part;
            }
        }
        return Optional.empty();
    }

    /** The configuration that a peer has in force, as it was published; empty if the peer does not give it. */
    Optional<byte[]> config(String host) {
        return get(http.newRequest(host, port).path(PeerRecordsHandler.CONFIG));
    }

    /**
     * The records of a topic as one peer has read them; empty if it does not give them.
     *
     * @param era era of the store in which the offset holds
     * @param from offset from which on records are wanted; negative for all keys
     */
    Optional<RecordCache.Part> ask(HostPort peer, MetadataStore.Topic topic, long era, long from) {
        Request request = http.newRequest(peer.host(), peer.port())
                .path(PeerRecordsHandler.path(topic))
                .param(PeerRecordsHandler.ERA, Long.toString(era))
                .param(PeerRecordsHandler.FROM, Long.toString(from));
        return get(request).flatMap(body -> RecordsCodec.read(body).toJavaOptional());
    }

    private Optional<byte[]> get(Request request) {
        try {
            ContentResponse answer = new PendingCall(http, request).await(TIMEOUT_MILLIS);
            return answer.getStatus() == OK ? Optional.of(answer.getContent()) : Optional.empty();
        } catch (TimeoutException | ExecutionException e) {
            return Optional.empty(); // the next peer, or the store's next call, will do
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }
}
