package org.cornelramp.daemon.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.Hello;
import org.cornelramp.wire.message.Message;

/** A link that records the messages sent on it. Confined to one thread. */
final class FakeLink implements Link {
    final List<Message> sent = new ArrayList<>();
    private final Hello peer;
    private boolean open = true;

    FakeLink(String name, boolean entry) {
        peer = new Hello(
                name,
                entry,
                new Incarnation(new BackendServerId(name), 1),
                new DataCentre("dc-1"),
                Optional.empty(),
                "");
    }

    /** Returns the last sent message of a type. */
    <T extends Message> T last(Class<T> type) {
        for (int i = sent.size() - 1; i >= 0; i--) {
            if (type.isInstance(sent.get(i))) {
                return type.cast(sent.get(i));
            }
        }
        throw new AssertionError("No " + type.getSimpleName() + " was sent");
    }

    @Override
    public Hello peer() {
        return peer;
    }

    @Override
    public Optional<HostPort> dialledAddress() {
        return Optional.empty();
    }

    @Override
    public boolean send(Message message) {
        return open && sent.add(message);
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public void close(String why) {
        open = false;
    }
}
