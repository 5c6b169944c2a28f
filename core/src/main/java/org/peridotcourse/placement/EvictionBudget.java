package org.peridotcourse.placement;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.peridotcourse.WorkloadId;

/** Limits the evictions of each workload in any window of 60 s. Confined to one thread. */
final class EvictionBudget {
    private static final long WINDOW_MILLIS = 60_000;

    private final Map<WorkloadId, ArrayDeque<Long>> evictions = new HashMap<>();

    /** Counts one eviction and returns true if the limit of the workload allows it. */
    boolean tryAcquire(long nowMillis, WorkloadId workload, int maxPerMinute) {
        ArrayDeque<Long> recent = evictions.computeIfAbsent(workload, key -> new ArrayDeque<>());
        while (!recent.isEmpty() && nowMillis - recent.peekFirst() >= WINDOW_MILLIS) {
            recent.pollFirst();
        }
        if (recent.size() >= maxPerMinute) {
            return false;
        }
        recent.addLast(nowMillis);
        return true;
    }
}
