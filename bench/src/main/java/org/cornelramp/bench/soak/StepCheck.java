package org.cornelramp.bench.soak;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that every layer ran every position of a session once and in order.
 *
 * <p>Within one process lifetime of an engine, the positions of a session follow each other without gap or repetition;
 * they restart from 0 only under a higher epoch, and no step of an older epoch runs after one of a newer epoch. Under
 * one epoch, a layer runs in only one lifetime of one engine. Stateless, safe for use by any thread.
 */
public final class StepCheck {

    private StepCheck() {}

    /** Adds a violation for every step that breaks the rule; the steps of each engine lifetime must be in order. */
    public static void check(List<RanStep> steps, Violations violations) {
        Map<String, RanStep> lastStepOfIncarnation = new HashMap<>();
        Map<String, String> incarnationOfEpoch = new HashMap<>();
        for (RanStep step : steps) {
            RanStep last = lastStepOfIncarnation.put(step.session() + " " + step.incarnation(), step);
            if (last != null) {
                checkFollows(last, step, violations);
            }
            String layerKey = step.session() + " epoch " + step.epoch() + " layer " + step.layerFrom();
            String incarnation = incarnationOfEpoch.putIfAbsent(layerKey, step.incarnation());
            if (incarnation != null && !incarnation.equals(step.incarnation())) {
                violations.add(
                        "layers",
                        "two engines ran session " + layerKey + ": " + incarnation + " and " + step.incarnation());
            }
        }
    }

    private static void checkFollows(RanStep last, RanStep step, Violations violations) {
        boolean restarted = step.position() == 0 && step.epoch() > last.epoch();
        if (step.position() != last.end() && !restarted) {
            violations.add("layers", step + " does not follow " + last);
        }
        if (step.epoch() < last.epoch()) {
            violations.add("layers", step + " ran after a newer epoch " + last);
        }
    }
}
