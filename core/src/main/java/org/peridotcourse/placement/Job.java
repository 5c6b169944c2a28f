package org.peridotcourse.placement;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.peridotcourse.CustomerId;
import org.peridotcourse.Resources;
import org.peridotcourse.WorkerId;
import org.peridotcourse.WorkloadId;

/** The owner's state of one job, or of the replicas of one service. Confined to one thread. */
final class Job {
    final String key;
    final Customer customer;

    /** True for replicas, which have no row in the table {@code jobs}. */
    final boolean replicaGroup;

    JobRow row;

    /** Whether a change of the row is in flight or being read back after a conflict. */
    boolean rowWriteInFlight;

    /** Whether a change of the row, such as a creation of tasks, waits in the write buffer. */
    boolean rowChangeCollected;

    final long firstSeenMillis;
    final Map<Integer, Task> tasks = new HashMap<>();
    final ArrayDeque<Task> queued = new ArrayDeque<>();
    final Set<WorkerId> failedOn = new HashSet<>();

    /** Number of crashes of workers just after a start of this job and of others. */
    int sharedCrashes;

    /** Number of the last scheduling pass in which no worker was found for its tasks. */
    long blockedPass;

    Job(String key, Customer customer, boolean replicaGroup, JobRow row, long firstSeenMillis) {
        this.key = key;
        this.customer = customer;
        this.replicaGroup = replicaGroup;
        this.row = row;
        this.firstSeenMillis = firstSeenMillis;
    }

    WorkloadId workload() {
        return row.spec().workload();
    }

    CustomerId customerId() {
        return customer.id;
    }

    Resources size() {
        return row.spec().size();
    }

    JobState state() {
        return row.progress().state();
    }

    boolean isSchedulable() {
        return !queued.isEmpty() && !row.cancel() && state() != JobState.HELD;
    }

    /** Puts a task into the queue of its job. */
    void enqueue(Task task) {
        queued.addLast(task);
        if (queued.size() == 1) {
            customer.addQueuedJob(this);
        }
        customer.queuedTasks++;
    }

    /** Takes a task out of the queue of its job. */
    void dequeue(Task task) {
        boolean found =
                queued.peekFirst() == task ? queued.pollFirst() != null : queued.remove(task);
        if (found) {
            customer.queuedTasks--;
            if (queued.isEmpty()) {
                customer.removeQueuedJob(this);
            }
        }
    }
}
