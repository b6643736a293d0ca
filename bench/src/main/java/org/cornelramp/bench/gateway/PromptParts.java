package org.cornelramp.bench.gateway;

import java.util.List;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The parts of the prompts of a run's streams: one that all share, one of six, one of eight and one of their own, all of
 * which follow from the id of the request. A poisonous part, which crashes each engine that begins to write on it, stands
 * in place of the third. Stateless, safe for use by any thread.
 */
final class PromptParts {
    private static final String SHARED = "5c1e07a2";
    private static final int SECOND_PARTS = 6;
    private static final int THIRD_PARTS = 8;
    private static final String POISONOUS = "dead";
    private static final Pattern POISONED_ID = Pattern.compile("r\\d+p(\\d+)");

    private PromptParts() {}

    /** Id of a request whose prompt holds a poisonous part. */
    static String poisonedId(String id, int poisonousPart) {
        return id + "p" + poisonousPart;
    }

    /** Number of the poisonous part in the prompt of a request, if it holds one. */
    static OptionalInt poisonousPart(String id) {
        Matcher matcher = POISONED_ID.matcher(id);
        return matcher.matches() ? OptionalInt.of(Integer.parseInt(matcher.group(1))) : OptionalInt.empty();
    }

    /** Id of a poisonous part. */
    static String poisonous(int number) {
        return POISONOUS + Integer.toHexString(number);
    }

    static boolean isPoisonous(String part) {
        return part.startsWith(POISONOUS);
    }

    /** Ids of the parts of the prompt of a request. */
    static List<String> of(String id) {
        SplittableRandom random = new SplittableRandom(id.hashCode());
        String second = "a" + random.nextInt(SECOND_PARTS);
        String third = "b" + random.nextInt(THIRD_PARTS);
        OptionalInt poisonous = poisonousPart(id);
        return List.of(
                SHARED,
                second,
                poisonous.isPresent() ? poisonous(poisonous.getAsInt()) : third,
                "f" + Integer.toHexString(id.hashCode()));
    }
}
