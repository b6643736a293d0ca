package org.cornelramp.daemon.entry;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import org.cornelramp.core.model.Problem;

/** Serves {@code POST /v1/chat/completions}. Safe for use by any thread. */
final class ChatHandler extends EntryHandler {

    ChatHandler(EntryContext context) {
        super(context);
    }

    @Override
    void handle(Arrival arrival) {
        if (context().draining().getAsBoolean()) {
            refuse(arrival.answer(), Refusals.leaving());
            return;
        }
        Either<Problem, ChatRequest> chat = ChatRequestReader.read(arrival.body());
        Either<Problem, CallerRequest> request = chat.flatMap(one -> admit(arrival, one.model()));
        if (request.isLeft()) {
            refuse(arrival.answer(), request.getLeft());
            return;
        }
        byte[] organisation = request.get().row().key().toString().getBytes(StandardCharsets.UTF_8);
        String fingerprint = Callers.sha256(organisation, ChatRun.identity(chat.get()));
        if (!context().intake().chat(request.get(), chat.get(), fingerprint, arrival.answer()::onBroken)) {
            refuse(arrival.answer(), Refusals.overloaded("The entry's queue is full."));
        }
    }
}
