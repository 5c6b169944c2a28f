package org.peridotcourse.daemon.dispatch;

import java.util.Map;

/**
 * Numbers of accepted jobs that have not started, as counted by one owner.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param epoch the epoch of the owner
 * @param byQueue the numbers by the name of the queue; a queue that is missing has no such jobs
 */
record PendingCounts(long epoch, Map<String, Integer> byQueue) {
    PendingCounts {
        byQueue = Map.copyOf(byQueue);
    }

    int of(String queue) {
        return byQueue.getOrDefault(queue, 0);
    }
}
