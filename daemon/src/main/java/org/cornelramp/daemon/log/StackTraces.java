package org.cornelramp.daemon.log;

import java.io.PrintWriter;
import java.io.StringWriter;

/** Formats stack traces as text. Stateless, safe for use by any thread. */
final class StackTraces {
    private StackTraces() {}

    /** Returns the stack trace, or an empty string if {@code thrown} is null. */
    static String format(Throwable thrown) {
        if (thrown == null) {
            return "";
        }
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text, true));
        return text.toString();
    }
}
