package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.List;
import org.peridotcourse.CustomerId;
import org.peridotcourse.Resources;

/**
 * Allocated resources and queued jobs of one customer in this data centre. Confined to one thread.
 */
final class Customer {
    final CustomerId id;
    int queuedTasks;

    /** Weighted dominant share, computed before each scheduling pass and after each placement. */
    double weightedShare;

    /** Sum of the declared sizes of its placed batch tasks. */
    Resources allocated = Resources.ZERO;

    /** Number of the last scheduling pass in which none of its tasks could be placed. */
    long blockedPass;

    private final List<Job> replicas = new ArrayList<>();
    private final List<Job> urgent = new ArrayList<>();
    private final List<Job> normal = new ArrayList<>();

    Customer(CustomerId id) {
        this.id = id;
    }

    /** Adds a job when its first task is queued. */
    void addQueuedJob(Job job) {
        list(job).add(job);
    }

    /** Removes a job when its last task leaves the queue. */
    void removeQueuedJob(Job job) {
        list(job).remove(job);
    }

    private List<Job> list(Job job) {
        if (job.replicaGroup) {
            return replicas;
        }
        return job.row.spec().urgent() ? urgent : normal;
    }

    List<Job> replicas() {
        return replicas;
    }

    List<Job> urgent() {
        return urgent;
    }

    List<Job> normal() {
        return normal;
    }

    /** Returns whether it has no queued batch job. */
    boolean hasNoBatchJobs() {
        return urgent.isEmpty() && normal.isEmpty();
    }

    /**
     * Returns the earliest time at which one of its queued batch jobs was first read.
     *
     * @param urgentOnly whether only urgent jobs count
     */
    long firstSeenMillis(boolean urgentOnly) {
        long first = Long.MAX_VALUE;
        for (Job job : urgent) {
            first = Math.min(first, job.firstSeenMillis);
        }
        if (!urgentOnly) {
            for (Job job : normal) {
                first = Math.min(first, job.firstSeenMillis);
            }
        }
        return first;
    }

    boolean hasUrgent() {
        return !urgent.isEmpty();
    }
}
