package org.cornelramp.core.route;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** The ways to choose backend servers. Each makes its own chooser, one for each entry. */
public enum ChoicePolicy {
    /** The better of a few chains by expected time to the whole answer. */
    EXPECTED_COMPLETION {
        @Override
        public Chooser chooser(PrefixHints hints) {
            return new ExpectedCompletionChooser(hints);
        }
    },
    /** A uniform draw; a baseline. */
    RANDOM {
        @Override
        public Chooser chooser(PrefixHints hints) {
            return new RandomChooser();
        }
    },
    /** Each in turn; a baseline. */
    ROUND_ROBIN {
        @Override
        public Chooser chooser(PrefixHints hints) {
            return new RoundRobinChooser();
        }
    },
    /** The one with the fewest requests of this entry; a baseline. */
    LEAST_OUTSTANDING {
        @Override
        public Chooser chooser(PrefixHints hints) {
            return new LeastOutstandingChooser();
        }
    };

    /**
     * Makes a chooser of this policy.
     *
     * @param hints where prompt prefixes are likely cached; the baselines ignore them
     */
    public abstract Chooser chooser(PrefixHints hints);

    /** The form that settings carry, such as {@code expected-completion}. */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Reads the form that {@link #text} gives. */
    @JsonCreator
    public static ChoicePolicy parse(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
