package org.cornelramp.daemon.agent;

import java.util.Optional;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.core.step.StageSession;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.OpenStage;
import org.cornelramp.wire.message.StageLost;

/** One stage of a session held by an agent, with the links that it uses. Confined to the agent's event loop thread. */
final class Stage {
    /** The positions, inputs and outputs of the session at this stage. */
    final StageSession session;
    /** The latest open request of the entry. */
    OpenStage open;
    /** Link to the entry; it may be closed. */
    Link entryLink;
    /** Monotone time at which the entry's link was found closed; 0 while it is open. */
    long orphanedAt;
    /** Monotone time at which the link to the next stage was found missing; 0 while it is open. */
    long nextMissingAt;
    /** Monotone time after which no caller waits for the session. */
    long deadline;
    /** Whether an export of the KV cache was requested and has not started. */
    boolean exportRequested;

    Stage(StageSession session, OpenStage open, Link entry, long deadline) {
        this.session = session;
        this.open = open;
        this.entryLink = entry;
        this.deadline = deadline;
    }

    long id() {
        return open.session();
    }

    /** Index of the stage that receives this one's outputs; the tokens of the last stage are inputs of the first. */
    int nextIndex() {
        return (open.stage() + 1) % open.stages().size();
    }

    /** Address of the agent that receives this stage's outputs; empty if it is this stage itself. */
    Optional<HostPort> nextAddress() {
        if (nextIndex() == open.stage()) {
            return Optional.empty();
        }
        return Optional.of(HostPort.parse(open.stages().get(nextIndex())));
    }

    /** The incarnation that the agent of the next stage must have. */
    Incarnation nextIncarnation() {
        return open.incarnations().get(nextIndex());
    }

    /** Reports to the entry that a stage of this session is lost. */
    void reportLost(int stage, ProblemKind kind, String detail) {
        entryLink.send(new StageLost(id(), session.epoch(), stage, kind, detail));
    }
}
