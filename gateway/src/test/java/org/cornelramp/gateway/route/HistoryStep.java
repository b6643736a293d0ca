package org.cornelramp.gateway.route;

import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * One step of a {@link RouterHistory}. Immutable.
 *
 * @param action what happens
 * @param value which of the possible requests, runs or servers it happens to
 */
record HistoryStep(Action action, int value) {
    private static final Pattern STEP = Pattern.compile("([A-Z_]+) (\\d+)");

    /** What an action does to a history. */
    private interface Effect {
        void apply(RouterHistory history, int value);
    }

    /** What can happen, with how often it is drawn. */
    enum Action {
        STREAM(6, (history, value) -> history.request("/chat/")),
        BOOK(2, (history, value) -> history.request("/book/")),
        LOOK(2, (history, value) -> history.request("/look/")),
        EVENT(14, RouterHistory::sendEvent),
        HALF_EVENT(3, RouterHistory::sendHalfEvent),
        FINISH(2, RouterHistory::finishRun),
        CUT(6, RouterHistory::cut),
        CUT_BEFORE_WRITE(2, RouterHistory::cutBeforeWrite),
        REFUSE(8, RouterHistory::refuse),
        ERROR(3, RouterHistory::answerError),
        LOSE(2, RouterHistory::loseAnswer),
        MOVE_ANSWER(6, RouterHistory::setMoveAnswer),
        REJECT_CALLS(1, RouterHistory::rejectEngineCalls),
        LEAVE(8, RouterHistory::leave),
        UNREGISTER(1, RouterHistory::unregister),
        KILL(4, RouterHistory::kill),
        SILENCE(3, RouterHistory::silence),
        RETURN(3, RouterHistory::returnServer),
        RESTART(5, RouterHistory::restart),
        PUBLISH(1, RouterHistory::publish),
        LEND(2, (history, value) -> history.lendRetries()),
        PEER_SUSPICION(1, RouterHistory::peerSuspicion),
        CLIENT_STALLS(2, RouterHistory::stallClient),
        CLIENT_READS(2, RouterHistory::readClient),
        CLIENT_LEAVES(1, RouterHistory::leaveClient),
        TICK(6, (history, value) -> history.tick()),
        RUN(10, RouterHistory::run),
        PAUSE(2, RouterHistory::pause),
        HANDLE(4, (history, value) -> history.handleNext()),
        CALL(4, (history, value) -> history.runEngineCall()),
        SETTLE(4, (history, value) -> history.settle()),
        /** Cuts a run so that the handling of its end throws an exception. */
        CUT_WITH_FAULT(3, RouterHistory::cutWithFault);

        private final int weight;

        @SuppressWarnings("ImmutableEnumChecker") // the effects have no state
        private final Effect effect;

        Action(int weight, Effect effect) {
            this.weight = weight;
            this.effect = effect;
        }

        int weight() {
            return weight;
        }
    }

    /** The actions without exceptions in the router's work. */
    static Action[] actionsWithoutFaults() {
        return Stream.of(Action.values())
                .filter(action -> action != Action.CUT_WITH_FAULT)
                .toArray(Action[]::new);
    }

    /** The steps in a text such as {@code "STREAM 0, EVENT 1"}. */
    static List<HistoryStep> parse(String text) {
        return STEP.matcher(text)
                .results()
                .map(step -> new HistoryStep(Action.valueOf(step.group(1)), Integer.parseInt(step.group(2))))
                .toList();
    }

    void applyTo(RouterHistory history) {
        action.effect.apply(history, value);
    }

    @Override
    public String toString() {
        return action + " " + value;
    }
}
