package org.cornelramp.daemon.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

/**
 * Determines whether this process is ready for work, from the checks that its parts add.
 *
 * <p>Safe for use by any thread; parts add their checks while they register.
 */
public final class Readiness {
    private final List<Check> checks = new CopyOnWriteArrayList<>();

    private record Check(String part, Supplier<Optional<String>> fault) {}

    /**
     * Adds a check.
     *
     * @param part name of the part
     * @param fault returns why the part is not ready, as a sentence, or empty if it is ready; must not block
     */
    public void add(String part, Supplier<Optional<String>> fault) {
        checks.add(new Check(part, fault));
    }

    /** Returns the reasons why this process is not ready; empty if it is ready. */
    public List<String> faults() {
        List<String> faults = new ArrayList<>();
        for (Check check : checks) {
            check.fault().get().ifPresent(fault -> faults.add(check.part() + ": " + fault));
        }
        return faults;
    }
}
