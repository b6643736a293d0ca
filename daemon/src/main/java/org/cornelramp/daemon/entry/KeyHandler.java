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

/** Serves {@code POST /v1/keys}: mints a ticket. Asking twice is harmless. Safe for use by any thread. */
final class KeyHandler extends EntryHandler {
    private static final ObjectMapper JSON = new ObjectMapper();

    KeyHandler(EntryContext context) {
        super(context);
    }

    @Override
    void handle(Arrival arrival) {
        if (context().draining().getAsBoolean()) {
            refuse(arrival.answer(), Refusals.leaving());
            return;
        }
        Either<Problem, CallerRequest> request = service(arrival.body()).flatMap(service -> admit(arrival, service));
        if (request.isLeft()) {
            refuse(arrival.answer(), request.getLeft());
            return;
        }
        boolean taken = context().intake().mint(request.get(), ticket -> arrival.answer()
                .whole(200, Headers.JSON, write(ticket)));
        if (!taken) {
            refuse(arrival.answer(), Refusals.overloaded("The entry's queue is full."));
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

    private static Either<Problem, ServiceName> service(byte[] body) {
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
