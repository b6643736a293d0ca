package org.cornelramp.gateway.route;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerRegistry;
import org.cornelramp.core.operate.RouteExplanation;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.gateway.peer.PeerUpdate;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.gateway.request.Exchange;
import org.cornelramp.platform.EngineReport;
import org.cornelramp.platform.MoveFault;
import org.cornelramp.platform.PlatformFault;

/** Input events of the router. Immutable, safe for use by any thread. */
public sealed interface RouterEvent {

    /** A client's request has been read completely. */
    record RequestReceived(Exchange exchange) implements RouterEvent {}

    /** An attempt at a request has ended. */
    record AttemptEnded(Attempt attempt, AttemptEnd end) implements RouterEvent {}

    /**
     * Registration records have been read from the store or from a peer.
     *
     * @param complete whether the records contain every registration up to the end offset
     * @param end offset after the newest record
     * @param era era of the store, that is the time between two restores, for which the offsets are valid
     */
    record RegistrationsRead(List<ServerRegistry.Registration> records, boolean complete, long end, long era)
            implements RouterEvent {
        public RegistrationsRead {
            records = List.copyOf(records);
        }
    }

    /**
     * An operator asks what would be decided on a request now; the request is not sent.
     *
     * @param answer completed by the router's thread
     */
    record ExplanationRequested(Exchange.ClientRequest request, CompletableFuture<RouteExplanation> answer)
            implements RouterEvent {}

    /** An update from a peer has been received. */
    record PeerUpdateReceived(PeerUpdate update) implements RouterEvent {}

    /** Whether the store answers. */
    record StoreStatus(boolean available) implements RouterEvent {}

    /** An engine's report has been read, or the call for it has failed. */
    record EngineReportResult(BackendServer engine, Either<PlatformFault, EngineReport> report)
            implements RouterEvent {}

    /**
     * It was tried to connect to a server.
     *
     * @param fault why no connection could be opened; empty if a process listens at the server's address
     */
    record ConnectionChecked(BackendServer server, Optional<PlatformFault> fault) implements RouterEvent {}

    /**
     * A server was asked for a sign of life.
     *
     * @param question number of the question; a later one was sent later
     * @param fault why there is none; empty if this incarnation has answered
     */
    record LifeAsked(BackendServer server, long question, Optional<PlatformFault> fault) implements RouterEvent {}

    /** An operator clears a request of the crashes so far. */
    record PoisonCleared(String fingerprint) implements RouterEvent {}

    /** An order to an engine to move a running request to another path has ended. */
    record MoveResult(Attempt attempt, StagePath path, Either<MoveFault, byte[]> result) implements RouterEvent {}
}
