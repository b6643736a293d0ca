package org.cornelramp.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.cornelramp.core.key.Ticket;
import org.cornelramp.core.model.NameValidator;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.model.ServiceName;

/**
 * Serves {@code POST /v1/keys}: issues a {@link Ticket}, an idempotency key that names its agent. Repeated requests are
 * safe: each gets a new key. Safe for use by any thread.
 */
final class KeyHandler extends EntryHandler {
    private static final ObjectMapper JSON = new ObjectMapper();

    KeyHandler(EntryContext context) {
        super(context);
    }

    @Override
    void handle(ReceivedRequest received) {
        if (context().draining().getAsBoolean()) {
            refuse(received.answer(), Refusals.leaving());
            return;
        }
        Either<Problem, CallerRequest> request =
                readService(received.body()).flatMap(service -> toCallerRequest(received, service));
        if (request.isLeft()) {
            refuse(received.answer(), request.getLeft());
            return;
        }
        boolean accepted = context().intake().submitTicketRequest(request.get(), ticket -> received.answer()
                .complete(200, Headers.JSON, write(ticket)));
        if (!accepted) {
            refuse(received.answer(), Refusals.overloaded("The entry's queue is full."));
        }
    }

    private byte[] write(Ticket ticket) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("key", ticket.text());
        node.put(
                "expiresAt",
                ticket.madeAt().plusMillis(context().keyWindowMillis()).toString());
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static Either<Problem, ServiceName> readService(byte[] body) {
        try {
            JsonNode name = JSON.readTree(body).path("service");
            if (name.isTextual() && NameValidator.isValid(name.textValue())) {
                return Either.right(new ServiceName(name.textValue()));
            }
        } catch (IOException e) {
            return Either.left(Problem.notRun(ProblemKind.MALFORMED_REQUEST, "The body is not JSON."));
        }
        return Either.left(
                Problem.notRun(ProblemKind.MALFORMED_REQUEST, "service is not the name of a plain service."));
    }
}
