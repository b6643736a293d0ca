package org.cornelramp.bench.soak;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that every layer ran every position of a session once and in order.
 *
 * <p>In one life of an engine the positions of a session follow each other without gap or repetition; they start
 * again from 0 only under a higher epoch, and no step of an older epoch runs after one of a newer. Under one epoch a
 * layer runs in one life of one engine only. Stateless, safe for use by any thread.
 */
public final class StepCheck {

    private StepCheck() {}

    /** Adds a violation for every step that breaks the rule; the steps of each life come in their order. */
    public static void check(List<RanStep> steps, Violations violations) {
        Map<String, RanStep> lastOfLife = new HashMap<>();
        Map<String, String> lifeOfEpoch = new HashMap<>();
        for (RanStep step : steps) {
            RanStep last = lastOfLife.put(step.session() + " " + step.life(), step);
            if (last != null) {
                follow(last, step, violations);
            }
            String place = step.session() + " epoch " + step.epoch() + " layer " + step.layerFrom();
            String life = lifeOfEpoch.putIfAbsent(place, step.life());
            if (life != null && !life.equals(step.life())) {
                violations.add("layers", "two engines ran session " + place + ": " + life + " and " + step.life());
            }
        }
    }

    private static void follow(RanStep last, RanStep step, Violations violations) {
        boolean again = step.position() == 0 && step.epoch() > last.epoch();
        if (step.position() != last.end() && !again) {
            violations.add("layers", step + " does not follow " + last);
        }
        if (step.epoch() < last.epoch()) {
            violations.add("layers", step + " ran after a newer epoch " + last);
        }
    }
}
