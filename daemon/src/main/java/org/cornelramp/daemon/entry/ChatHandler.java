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
    void handle(ReceivedRequest received) {
        if (context().draining().getAsBoolean()) {
            refuse(received.answer(), Refusals.leaving());
            return;
        }
        Either<Problem, ChatRequest> chat = ChatRequestReader.read(received.body());
        Either<Problem, CallerRequest> request = chat.flatMap(parsed -> toCallerRequest(received, parsed.model()));
        if (request.isLeft()) {
            refuse(received.answer(), request.getLeft());
            return;
        }
        byte[] organisation = request.get().row().key().toString().getBytes(StandardCharsets.UTF_8);
        String fingerprint = CallerAuthenticator.sha256(organisation, ChatRun.fingerprintInput(chat.get()));
        if (!context()
                .intake()
                .submitChat(request.get(), chat.get(), fingerprint, received.answer()::onConnectionLost)) {
            refuse(received.answer(), Refusals.overloaded("The entry's queue is full."));
        }
    }
}
