package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.List;
import org.peridotcourse.CustomerId;
import org.peridotcourse.Resources;

/** Use and queue of one customer in this data centre. Confined to one thread. */
final class Customer {
    final CustomerId id;
    int queuedTasks;

    /** Its weighted dominant share when the present pass last looked. */
    double weightedShare;

    /** Declared sizes of its placed batch tasks. */
    Resources allocated = Resources.ZERO;

    /** Number of the last scheduling pass in which nothing of it could be placed. */
    long blockedPass;

    private final List<Job> replicas = new ArrayList<>();
    private final List<Job> urgent = new ArrayList<>();
    private final List<Job> normal = new ArrayList<>();

    Customer(CustomerId id) {
        this.id = id;
    }

    /** Adds a job whose first task was queued. */
    void addQueuedJob(Job job) {
        list(job).add(job);
    }

    /** Removes a job whose last task left the queue. */
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

    /** Tells whether it has no queued batch job. */
    boolean hasNoBatchJobs() {
        return urgent.isEmpty() && normal.isEmpty();
    }

    /** Returns when the first of its queued batch jobs was seen. */
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
