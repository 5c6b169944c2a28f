package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.peridotcourse.Resources;

/**
 * Assigns queued tasks to workers: replicas of services first, then urgent tasks, then the others,
 * with customers in the order of their weighted shares.
 *
 * <p>Confined to one thread.
 */
final class Scheduler {
    /**
     * Maximum number of assignments in one pass. With a pass every 50 ms this allows 960 starts/s
     * and limits the time that one pass takes on the owner's thread.
     */
    private static final int MAX_STARTS_PER_PASS = 48;

    /** Maximum number of jobs of one customer that are tried before the next customer's turn. */
    private static final int MAX_JOBS_TRIED = 16;

    private final OwnerState state;
    private final WriteBuffer writes;
    private final FairShareOrder fairShareOrder;
    private final WorkerSelector workerSelector;
    private final List<Resources> sizesWithoutWorker = new ArrayList<>();
    private long pass;

    Scheduler(
            OwnerState state,
            WriteBuffer writes,
            FairShareOrder fairShareOrder,
            WorkerSelector workerSelector) {
        this.state = state;
        this.writes = writes;
        this.fairShareOrder = fairShareOrder;
        this.workerSelector = workerSelector;
    }

    /** Assigns the tasks that can be started now. */
    void run(long nowMillis) {
        if (state.queuedTasks == 0
                || !state.mayStart(nowMillis)
                || writes.collectedSize() >= OwnerSettings.MAX_WRITE_ROWS) {
            return;
        }
        pass++;
        sizesWithoutWorker.clear();
        fairShareOrder.refresh();
        int remaining = MAX_STARTS_PER_PASS;
        for (Customer customer : state.customers.values()) {
            if (customer.replicas().isEmpty()) {
                continue;
            }
            for (Job job : List.copyOf(customer.replicas())) {
                while (remaining > 0 && job.blockedPass != pass && job.isSchedulable()) {
                    remaining -= assign(nowMillis, job) ? 1 : 0;
                }
            }
        }
        remaining = assignInFairOrder(nowMillis, remaining, true);
        assignInFairOrder(nowMillis, remaining, false);
    }

    private int assignInFairOrder(long nowMillis, int limit, boolean urgentOnly) {
        int remaining = limit;
        while (remaining > 0) {
            Customer customer = fairShareOrder.next(pass, urgentOnly);
            if (customer == null) {
                break;
            }
            if (assignNext(nowMillis, customer, urgentOnly)) {
                remaining--;
            } else {
                customer.blockedPass = pass;
            }
        }
        if (urgentOnly) {
            // A customer whose urgent tasks found no worker may still have smaller tasks that fit.
            state.customers.values().forEach(customer -> customer.blockedPass = 0);
        }
        return remaining;
    }

    private boolean assignNext(long nowMillis, Customer customer, boolean urgentOnly) {
        return assignFirst(nowMillis, customer, customer.urgent())
                || (!urgentOnly && assignFirst(nowMillis, customer, customer.normal()));
    }

    private boolean assignFirst(long nowMillis, Customer customer, List<Job> jobs) {
        int tried = 0;
        for (int i = 0; i < jobs.size() && tried < MAX_JOBS_TRIED; i++) {
            Job job = jobs.get(i);
            if (job.blockedPass == pass || !job.isSchedulable()) {
                continue;
            }
            tried++;
            if (!fairShareOrder.isWithinQuota(customer, job.size())) {
                job.blockedPass = pass;
            } else if (assign(nowMillis, job)) {
                return true;
            }
        }
        return false;
    }

    private boolean assign(long nowMillis, Job job) {
        Task task = nextTask(job);
        if (task == null || isKnownNotToFit(job)) {
            job.blockedPass = pass;
            return false;
        }
        Worker worker = workerSelector.choose(nowMillis, job);
        if (worker == null) {
            job.blockedPass = pass;
            if (job.failedOn.isEmpty()) {
                sizesWithoutWorker.add(job.size());
            }
            return false;
        }
        state.dequeue(task);
        task.state = TaskChart.next(task.state, TaskEvent.CHOSEN);
        task.attempt++;
        task.resetAttempt();
        state.attach(nowMillis, task, worker);
        worker.quarantine.taskStarted(task);
        fairShareOrder.refresh(job.customer);
        RowChange change = RowChange.of(task, task.state);
        writes.add(change);
        state.recordDecision(
                task.id().value(),
                "task-placed",
                worker,
                state.policy.name().toLowerCase(Locale.ROOT));
        return true;
    }

    private static Task nextTask(Job job) {
        for (Task task : job.queued) {
            if (!task.rowChangePending) {
                return task;
            }
        }
        return null;
    }

    /** Returns whether a task no larger than those of the job has found no worker in this pass. */
    private boolean isKnownNotToFit(Job job) {
        if (job.replicaGroup) {
            return false;
        }
        for (Resources size : sizesWithoutWorker) {
            if (size.isWithin(job.size())) {
                return true;
            }
        }
        return false;
    }
}
