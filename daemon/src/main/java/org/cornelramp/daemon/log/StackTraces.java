package org.cornelramp.daemon.log;

import java.io.PrintWriter;
import java.io.StringWriter;

/** Writes stack traces as text. Stateless, safe for use by any thread. */
final class Traces {
    private Traces() {}

    /** The trace, or an empty text for no exception. */
    static String of(Throwable thrown) {
        if (thrown == null) {
            return "";
        }
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text, true));
        return text.toString();
    }
}
