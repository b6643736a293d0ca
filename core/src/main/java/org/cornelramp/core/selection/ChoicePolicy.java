package org.cornelramp.core.selection;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** The policies for the choice of backend servers. Each creates its own kind of chooser, one for each entry. */
public enum ChoicePolicy {
    /** The chain with the shortest expected time to the complete answer among a few that are sampled. */
    EXPECTED_COMPLETION {
        @Override
        public Chooser newChooser(PrefixHints hints) {
            return new ExpectedCompletionChooser(hints);
        }
    },
    /** A uniformly random choice; a baseline. */
    RANDOM {
        @Override
        public Chooser newChooser(PrefixHints hints) {
            return new RandomChooser();
        }
    },
    /** Round robin; a baseline. */
    ROUND_ROBIN {
        @Override
        public Chooser newChooser(PrefixHints hints) {
            return new RoundRobinChooser();
        }
    },
    /** The one with the fewest requests of this entry in progress; a baseline. */
    LEAST_OUTSTANDING {
        @Override
        public Chooser newChooser(PrefixHints hints) {
            return new LeastOutstandingChooser();
        }
    };

    /**
     * Creates a chooser with this policy.
     *
     * @param hints where prompt prefixes are likely cached; the baselines ignore them
     */
    public abstract Chooser newChooser(PrefixHints hints);

    /** The name in settings, such as {@code expected-completion}. */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Parses the name that {@link #text} returns. */
    @JsonCreator
    public static ChoicePolicy parse(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
