package org.cornelramp.bench.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The faults of a run, drawn from its seed before it starts: the same seed, length and fleet give the same faults.
 * Immutable, safe for use by any thread.
 *
 * <p>Faults overlap, except two at one member: the second would find a process that has already exited.
 */
public final class FaultSchedule {
    private static final long MEAN_GAP_MILLIS = 1_200;
    private static final long EARLIEST_START_MILLIS = 500;
    private static final long MIN_DURATION_MILLIS = 200;
    private static final long MAX_DURATION_MILLIS = 4_000;
    private static final long RECOVERY_MILLIS = 2_500;
    private static final int MAX_DRAWS = 20;

    private final List<PlannedFault> faults;

    private FaultSchedule(List<PlannedFault> faults) {
        this.faults = List.copyOf(faults);
    }

    /**
     * Draws a schedule.
     *
     * @param members number of members of each target; 1 for each platform service and for the table
     */
    public static FaultSchedule draw(long seed, int seconds, Map<FaultKind.Target, Integer> members) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<FaultKind.Target, long[]> freeAt = new EnumMap<>(FaultKind.Target.class);
        members.forEach((target, count) -> freeAt.put(target, new long[count]));
        List<PlannedFault> faults = new ArrayList<>();
        long at = EARLIEST_START_MILLIS + random.nextLong(MEAN_GAP_MILLIS);
        while (at < seconds * 1_000L) {
            PlannedFault fault = drawFault(random, at, freeAt);
            if (fault != null) {
                faults.add(fault);
                freeAt.get(fault.kind().target())[fault.targetIndex()] = fault.endMillis() + RECOVERY_MILLIS;
            }
            at += 1 + random.nextLong(2 * MEAN_GAP_MILLIS);
        }
        return new FaultSchedule(faults);
    }

    /** The faults in the order of their start. */
    public List<PlannedFault> faults() {
        return faults;
    }

    private static PlannedFault drawFault(SplittableRandom random, long at, Map<FaultKind.Target, long[]> freeAt) {
        FaultKind[] kinds = FaultKind.values();
        for (int i = 0; i < MAX_DRAWS; i++) {
            FaultKind kind = kinds[random.nextInt(kinds.length)];
            long[] free = freeAt.get(kind.target());
            int member = random.nextInt(free.length);
            long durationMillis = MIN_DURATION_MILLIS + random.nextLong(MAX_DURATION_MILLIS - MIN_DURATION_MILLIS);
            if (free[member] <= at) {
                return new PlannedFault(kind, member, at, durationMillis);
            }
        }
        return null;
    }
}
