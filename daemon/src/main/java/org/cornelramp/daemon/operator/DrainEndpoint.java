package org.cornelramp.daemon.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vavr.control.Either;
import java.util.Optional;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.operate.AppliedDocument.PeerEntry;
import org.cornelramp.core.operate.DrainAnswer;
import org.cornelramp.core.operate.DrainRequest;
import org.cornelramp.core.operate.OperatorJson;
import org.cornelramp.daemon.kernel.StopSwitch;

/** Begins the planned stop of an agent, or of this entry itself. Confined to the operators' duty. */
final class DrainEndpoint implements Endpoint {
    private static final System.Logger LOG = System.getLogger(DrainEndpoint.class.getName());

    private final String self;
    private final AgentBoard agents;
    private final EntryList entries;
    private final StopSwitch stop;

    DrainEndpoint(String self, AgentBoard agents, EntryList entries, StopSwitch stop) {
        this.self = self;
        this.agents = agents;
        this.entries = entries;
        this.stop = stop;
    }

    @Override
    public Either<Problem, Object> answer(OperatorCall call) throws InterruptedException {
        DrainRequest request;
        try {
            request = OperatorJson.STRICT.readValue(call.body(), DrainRequest.class);
        } catch (JsonProcessingException e) {
            return Either.left(Problem.notRun(ProblemKind.MALFORMED_REQUEST, "Give name and by as JSON."));
        }
        if (request.name().equals(self)) {
            LOG.log(System.Logger.Level.INFO, "operator: a drain of this entry begins; by=" + request.by());
            stop.stop();
            return Either.right(new DrainAnswer(self, self));
        }
        if (agents.drain(request.name(), request.by())) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "operator: a drain was passed on; agent=" + request.name() + " by=" + request.by());
            return Either.right(new DrainAnswer(request.name(), self));
        }
        return Either.left(Problem.notRun(ProblemKind.NOT_FOUND, elsewhere(request.name())));
    }

    private String elsewhere(String name) throws InterruptedException {
        Optional<PeerEntry> entry = entries.find(name);
        return entry.map(peer -> "Ask that entry itself, at http://" + peer.address() + ".")
                .orElse("No agent of this name is linked here, and no entry of this name is shown as live.");
    }
}
