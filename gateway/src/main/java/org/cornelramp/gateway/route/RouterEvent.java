package org.cornelramp.gateway.route;

import io.vavr.control.Either;
import java.util.List;
import org.cornelramp.core.fleet.BackendServer;
import org.cornelramp.core.fleet.ServerRegistry;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.gateway.peer.PeerNews;
import org.cornelramp.gateway.request.Attempt;
import org.cornelramp.gateway.request.AttemptEnd;
import org.cornelramp.gateway.request.Exchange;
import org.cornelramp.platform.EngineReport;
import org.cornelramp.platform.MoveFault;
import org.cornelramp.platform.StoreFault;

/** What the router's duty is told. Immutable, safe for use by any thread. */
public sealed interface RouterEvent {

    /** A client's request has been read whole. */
    record Arrived(Exchange exchange) implements RouterEvent {}

    /** An attempt has ended. */
    record Ended(Attempt attempt, AttemptEnd end) implements RouterEvent {}

    /**
     * Registrations have been read.
     *
     * @param whole whether they are all there are up to the end
     * @param end offset behind the newest record
     * @param era era of the store in which the offsets hold
     */
    record Registered(List<ServerRegistry.Registration> records, boolean whole, long end, long era)
            implements RouterEvent {
        public Registered {
            records = List.copyOf(records);
        }
    }

    /** A peer has told its news. */
    record PeerTold(PeerNews news) implements RouterEvent {}

    /** The store answered, or did not. */
    record StoreAnswers(boolean answers) implements RouterEvent {}

    /** An engine was asked how it is. */
    record Reported(BackendServer engine, Either<StoreFault, EngineReport> report) implements RouterEvent {}

    /** An engine was ordered to move a running request. */
    record Moved(Attempt attempt, StagePath path, Either<MoveFault, byte[]> result) implements RouterEvent {}
}
