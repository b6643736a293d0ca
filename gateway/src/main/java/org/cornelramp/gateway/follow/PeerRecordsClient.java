package org.cornelramp.gateway.follow;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.platform.MetadataStore;
import org.cornelramp.platform.PendingCall;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;

/**
 * Reads the store's records and the configuration from peers over HTTP.
 *
 * <p>The store may refuse some machines for many seconds and serve the others. If engines are replaced meanwhile, a
 * gateway without new records sends its requests to engines that are gone. Records from a peer are slightly older; they
 * carry their offsets, so they never override newer records that came from the store itself. Safe for use by any
 * thread; calls block.
 */
public final class PeerRecordsClient implements PeerRecords {
    private static final long TIMEOUT_MILLIS = 250;

    /** Extra time for the rest of an answer that has begun; the store is read if a peer takes longer. */
    private static final long GRACE_MILLIS = 250;

    private static final int MAX_PEERS = 2;
    private static final int OK = 200;

    private final HttpClient http;
    private final int port;
    private final Supplier<List<HostPort>> peers;
    private final LongSupplier clock;

    /**
     * @param port port on which every gateway serves its peers
     * @param clock monotonic clock in milliseconds
     */
    public PeerRecordsClient(HttpClient http, int port, Supplier<List<HostPort>> peers, LongSupplier clock) {
        this.http = http;
        this.port = port;
        this.peers = peers;
        this.clock = clock;
    }

    @Override
    public Optional<RecordCache.RecordSet> fetchFromAnyPeer(MetadataStore.Topic topic) {
        List<HostPort> shuffled = new ArrayList<>(peers.get());
        Collections.shuffle(shuffled);
        for (HostPort peer : shuffled.subList(0, Math.min(MAX_PEERS, shuffled.size()))) {
            Optional<RecordCache.RecordSet> recordSet = fetch(new HostPort(peer.host(), port), topic, 0, -1);
            if (recordSet.isPresent()) {
                return recordSet;
            }
        }
        return Optional.empty();
    }

    @Override
    public Optional<byte[]> fetchConfig(String host) {
        return get(http.newRequest(host, port).path(PeerRecordsHandler.CONFIG));
    }

    @Override
    public Optional<RecordCache.RecordSet> fetch(HostPort peer, MetadataStore.Topic topic, long era, long from) {
        Request request = http.newRequest(peer.host(), peer.port())
                .path(PeerRecordsHandler.path(topic))
                .param(PeerRecordsHandler.ERA, Long.toString(era))
                .param(PeerRecordsHandler.FROM, Long.toString(from));
        return get(request).flatMap(body -> RecordsCodec.read(body).toJavaOptional());
    }

    private Optional<byte[]> get(Request request) {
        try {
            ContentResponse answer = new PendingCall(http, request, clock).await(TIMEOUT_MILLIS, GRACE_MILLIS);
            return answer.getStatus() == OK ? Optional.of(answer.getContent()) : Optional.empty();
        } catch (TimeoutException | ExecutionException e) {
            return Optional.empty(); // the caller asks the next peer or reads from the store
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }
}
