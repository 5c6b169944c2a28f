package org.peridotcourse.placement;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.peridotcourse.WorkloadId;

/** Bounds evictions per workload in any 60 s. Confined to one thread. */
final class EvictionBudget {
    private static final long WINDOW_MILLIS = 60_000;

    private final Map<WorkloadId, ArrayDeque<Long>> evictions = new HashMap<>();

    /** Takes one eviction if the workload's limit allows it. */
    boolean tryAcquire(long nowMillis, WorkloadId workload, int mostPerMinute) {
        ArrayDeque<Long> recent = evictions.computeIfAbsent(workload, key -> new ArrayDeque<>());
        while (!recent.isEmpty() && nowMillis - recent.peekFirst() >= WINDOW_MILLIS) {
            recent.pollFirst();
        }
        if (recent.size() >= mostPerMinute) {
            return false;
        }
        recent.addLast(nowMillis);
        return true;
    }
}
