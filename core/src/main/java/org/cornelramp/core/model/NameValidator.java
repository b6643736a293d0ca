package org.cornelramp.core.model;

import java.util.regex.Pattern;

/** Validates names that operators choose. Stateless, safe for use by any thread. */
public final class NameValidator {
    /** The longest accepted name, in characters. */
    public static final int MAX_LENGTH = 64;

    private static final Pattern VALID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private NameValidator() {}

    /** Returns whether {@code value} is 1 to {@value #MAX_LENGTH} letters, digits, dots, dashes or underscores. */
    public static boolean isValid(String value) {
        return value != null && VALID.matcher(value).matches();
    }

    /**
     * Throws an exception if a name is not valid.
     *
     * @param what the kind of name, for the error message
     * @throws IllegalArgumentException if {@code value} is not valid
     */
    public static void check(String what, String value) {
        if (!isValid(value)) {
            throw new IllegalArgumentException("The " + what + " name is not valid: use 1 to " + MAX_LENGTH
                    + " letters, digits, dots, dashes or underscores, first a letter or digit");
        }
    }
}
