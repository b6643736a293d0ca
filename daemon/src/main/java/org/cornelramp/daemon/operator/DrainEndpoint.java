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

/** Starts the planned stop of an agent or of this entry. Confined to the operators' event loop. */
final class DrainEndpoint implements Endpoint {
    private static final System.Logger LOG = System.getLogger(DrainEndpoint.class.getName());

    private final String processName;
    private final OperatorAgentAccess agents;
    private final EntryList entries;
    private final StopSwitch stop;

    DrainEndpoint(String processName, OperatorAgentAccess agents, EntryList entries, StopSwitch stop) {
        this.processName = processName;
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
            return Either.left(
                    Problem.notRun(ProblemKind.MALFORMED_REQUEST, "Send a JSON object with the fields name and by."));
        }
        if (request.name().equals(processName)) {
            LOG.log(System.Logger.Level.INFO, "operator: the drain of this entry starts; by=" + request.by());
            stop.stop();
            return Either.right(new DrainAnswer(processName, processName));
        }
        if (agents.drain(request.name(), request.by())) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "operator: a drain was sent to an agent; agent=" + request.name() + " by=" + request.by());
            return Either.right(new DrainAnswer(request.name(), processName));
        }
        return Either.left(Problem.notRun(ProblemKind.NOT_FOUND, whereToAsk(request.name())));
    }

    private String whereToAsk(String name) throws InterruptedException {
        Optional<PeerEntry> entry = entries.find(name);
        return entry.map(peer -> "Send the drain to that entry, at http://" + peer.address() + ".")
                .orElse(
                        "No agent of this name is linked to this entry, and the VM list shows no live entry of this name.");
    }
}
