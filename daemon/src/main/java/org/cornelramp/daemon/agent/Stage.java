package org.cornelramp.daemon.agent;

import java.util.Optional;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.core.step.StageSession;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.OpenStage;
import org.cornelramp.wire.message.StageLost;

/** One session held by an agent, with the links that it uses. Confined to the agent's duty. */
final class Stage {
    /** The stage guard. */
    final StageSession session;
    /** What the entry asked for last. */
    OpenStage open;
    /** Link to the entry; it may be closed. */
    Link entry;
    /** When the entry's link was lost; 0 while it is there. */
    long orphanedAt;
    /** When the link to the next stage was found missing; 0 while it is there. */
    long nextMissingAt;
    /** Monotone time after which nobody waits for the session. */
    long deadline;
    /** Whether the KV cache was asked for. */
    boolean exporting;

    Stage(StageSession session, OpenStage open, Link entry, long deadline) {
        this.session = session;
        this.open = open;
        this.entry = entry;
        this.deadline = deadline;
    }

    long id() {
        return open.session();
    }

    /** Index of the stage that takes this one's outputs: the last one's tokens feed the first. */
    int nextIndex() {
        return (open.stage() + 1) % open.stages().size();
    }

    /** Address of the agent that takes this stage's outputs; empty when it is this stage itself. */
    Optional<HostPort> next() {
        if (nextIndex() == open.stage()) {
            return Optional.empty();
        }
        return Optional.of(HostPort.parse(open.stages().get(nextIndex())));
    }

    /** The life that the agent of the next stage must have. */
    Incarnation nextLife() {
        return open.incarnations().get(nextIndex());
    }

    /** Tells the entry that a stage of this session is lost. */
    void reportLost(int stage, ProblemKind kind, String detail) {
        entry.send(new StageLost(id(), session.epoch(), stage, kind, detail));
    }
}
