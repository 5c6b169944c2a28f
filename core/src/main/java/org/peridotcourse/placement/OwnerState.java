package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.JobId;
import org.peridotcourse.Resources;
import org.peridotcourse.TaskId;
import org.peridotcourse.WorkerId;
import org.peridotcourse.WorkloadId;
import org.peridotcourse.base.LeaseHolder;

/**
 * In-memory state of a placement owner: lease, configuration, workers, jobs and tasks.
 *
 * <p>Keeps the allocations of workers and customers consistent with the tasks. Confined to one
 * thread.
 */
final class OwnerState {
    final OwnerSettings settings;
    final PlacementPolicy policy;
    final Map<WorkerId, Worker> workers = new TreeMap<>();
    final Map<String, Job> jobs = new HashMap<>();
    final Map<CustomerId, Customer> customers = new TreeMap<>();
    final Map<DataCentreId, PeerOwner> peers = new TreeMap<>();
    final InterferenceModel interference = new InterferenceModel();

    /** Task rows whose job row has not been read yet, by job. */
    final Map<String, List<TaskRow>> orphanedTaskRows = new HashMap<>();

    /**
     * Commit of each task's removal, kept until a poll reads the rows as of that commit or later.
     */
    final Map<String, Long> removalCommits = new HashMap<>();

    /** Workers of all data centres, from the platform's host list. */
    List<WorkerHost> hosts = List.of();

    /** Time of the event that is being handled. */
    long nowMillis;

    LeaseHolder lease;
    boolean loaded;
    long loadedMillis;

    /**
     * Time by which all batch leases have ended that earlier owners granted to workers which have
     * not answered under this epoch.
     */
    long earlierLeaseBoundMillis;

    PlacementConfig config = PlacementConfig.EMPTY;
    long configConfirmedMillis = Long.MIN_VALUE / 2;
    Resources localCapacity = Resources.ZERO;
    Resources totalCapacity = Resources.ZERO;
    int placedTasks;
    int queuedTasks;
    long evictions;
    long starts;
    List<PlacementAction> actions = new ArrayList<>();

    private final Map<WorkloadId, UsageEstimator> estimators = new HashMap<>();

    OwnerState(OwnerSettings settings, PlacementPolicy policy) {
        this.settings = settings;
        this.policy = policy;
    }

    DataCentreId dataCentre() {
        return settings.dataCentre();
    }

    boolean isLeaseHeld(long nowMillis) {
        return lease != null && lease.isHeld(nowMillis);
    }

    boolean isReady(long nowMillis) {
        return loaded && isLeaseHeld(nowMillis);
    }

    /**
     * Returns whether tasks may start here: the rows are loaded, the lease is held, and a
     * configuration that was confirmed recently has this data centre {@code in}.
     */
    boolean mayStart(long nowMillis) {
        return isReady(nowMillis)
                && config.isIn(dataCentre())
                && nowMillis - configConfirmedMillis <= OwnerSettings.MAX_CONFIG_AGE_MILLIS;
    }

    boolean isLatencyCritical(Job job) {
        return job.replicaGroup;
    }

    Optional<PlacementConfig.WorkloadRule> rule(WorkloadId workload) {
        return Optional.ofNullable(config.workloads().get(workload));
    }

    Customer customer(CustomerId id) {
        return customers.computeIfAbsent(id, Customer::new);
    }

    UsageEstimator estimator(WorkloadId workload) {
        return estimators.computeIfAbsent(workload, key -> new UsageEstimator());
    }

    /**
     * Returns a worker. A worker that is not present yet is added as leaving and without capacity,
     * until the host list provides both.
     */
    Worker worker(WorkerId id) {
        Worker worker = workers.get(id);
        if (worker == null) {
            worker = new Worker(id, new WorkerAllocation(Resources.ZERO));
            worker.leaving = true;
            worker.batchLeaseBoundMillis = earlierLeaseBoundMillis;
            worker.serviceLeaseBoundMillis = Long.MAX_VALUE / 2;
            workers.put(id, worker);
        }
        return worker;
    }

    Task findTask(TaskId id) {
        int slash = id.value().lastIndexOf('/');
        Job job = jobs.get(id.value().substring(0, slash));
        return job == null ? null : job.tasks.get(taskIndex(id));
    }

    static int taskIndex(TaskId id) {
        return Integer.parseInt(id.value().substring(id.value().lastIndexOf('/') + 1));
    }

    static String jobKey(TaskId id) {
        return id.value().substring(0, id.value().lastIndexOf('/'));
    }

    static CustomerId customerOf(String jobKey) {
        return CustomerId.of(jobKey.substring(0, jobKey.indexOf('/')));
    }

    /**
     * Stores a job row if it is newer than the stored one.
     *
     * @return the job, null if it had ended before its row was first read
     */
    Job putJob(long nowMillis, JobRow row) {
        String key = row.spec().id().value();
        Job job = jobs.get(key);
        if (job == null) {
            if (row.progress().state().isFinal()) {
                return null;
            }
            job = new Job(key, customer(customerOf(key)), false, row, nowMillis);
            jobs.put(key, job);
        } else if (row.commit() > job.row.commit()) {
            job.row = row;
        }
        return job;
    }

    /**
     * Replaces the state of a task by that of its row. A row whose job row has not been read yet is
     * kept in {@link #orphanedTaskRows}.
     */
    void applyRow(long nowMillis, TaskRow row) {
        Job job = jobs.get(jobKey(row.task()));
        if (job == null) {
            if (!isReplica(row.task())) {
                List<TaskRow> orphans =
                        orphanedTaskRows.computeIfAbsent(
                                jobKey(row.task()), key -> new ArrayList<>());
                orphans.removeIf(other -> other.task().equals(row.task()));
                orphans.add(row);
                return;
            }
            job = replicaJob(nowMillis, jobKey(row.task()), row.size());
        }
        Task task = job.tasks.get(taskIndex(row.task()));
        if (task == null) {
            task = new Task(job, taskIndex(row.task()));
            job.tasks.put(task.index, task);
        } else {
            detachOrDequeue(nowMillis, task);
        }
        task.state = row.state();
        task.attempt = row.attempt();
        task.checkpoint = row.checkpoint().orElse(null);
        task.commit = row.commit();
        task.rowChangePending = false;
        task.resetAttempt();
        if (row.state().isPlaced()) {
            attach(nowMillis, task, worker(row.worker().orElseThrow()));
        } else if (row.state() == TaskState.QUEUED) {
            enqueue(task);
        }
    }

    /**
     * Applies a row that a poll returned, unless the state is newer or a write of the task is
     * pending.
     */
    void applyRowIfNewer(long nowMillis, TaskRow row) {
        Task existing = findTask(row.task());
        boolean newer =
                existing == null
                        ? row.commit() > removalCommits.getOrDefault(row.task().value(), 0L)
                        : !existing.rowChangePending && row.commit() > existing.commit;
        if (newer) {
            applyRow(nowMillis, row);
            Task added = existing == null ? findTask(row.task()) : null;
            if (added != null) {
                added.receivedMillis = nowMillis;
            }
        }
    }

    /** Removes a task that is no longer in this data centre. */
    void removeTask(long nowMillis, Task task, long commit) {
        detachOrDequeue(nowMillis, task);
        task.job.tasks.remove(task.index);
        task.rowChangePending = false;
        removalCommits.put(task.job.key + "/" + task.index, commit);
        if (task.job.state().isFinal() && task.job.tasks.isEmpty()) {
            jobs.remove(task.job.key);
        }
    }

    void enqueue(Task task) {
        task.state = TaskState.QUEUED;
        task.job.enqueue(task);
        queuedTasks++;
    }

    void detachOrDequeue(long nowMillis, Task task) {
        if (task.worker != null) {
            detach(nowMillis, task);
        } else if (task.state == TaskState.QUEUED) {
            dequeue(task);
        }
    }

    void dequeue(Task task) {
        task.job.dequeue(task);
        queuedTasks--;
    }

    /** Assigns a task to a worker and charges it to the worker and to the customer. */
    void attach(long nowMillis, Task task, Worker worker) {
        task.worker = worker;
        task.estimate = estimator(task.job.workload()).estimate(task.job.size());
        worker.allocation.charge(task.job.size(), task.estimate);
        worker.tasks.add(task);
        placedTasks++;
        if (task.job.replicaGroup) {
            worker.services.add(task.job.workload());
        } else {
            worker.batchTasksChangedMillis = nowMillis;
            task.job.customer.allocated = task.job.customer.allocated.plus(task.job.size());
        }
    }

    void detach(long nowMillis, Task task) {
        Worker worker = task.worker;
        task.worker = null;
        worker.allocation.release(task.job.size(), task.estimate);
        worker.tasks.remove(task);
        worker.quarantine.taskLeft(task);
        placedTasks--;
        if (task.job.replicaGroup) {
            worker.services.remove(task.job.workload());
        } else {
            worker.batchTasksChangedMillis = nowMillis;
            task.job.customer.allocated = task.job.customer.allocated.minus(task.job.size());
        }
    }

    String replicaKey(WorkloadId workload) {
        String[] parts = workload.value().split("/");
        return parts[0] + "/" + REPLICA_PREFIX + parts[1] + "." + dataCentre().value();
    }

    /**
     * Prefix of replica groups; their names contain the data centre, so that no two data centres
     * share a task id.
     */
    static final String REPLICA_PREFIX = "service.";

    static boolean isReplica(TaskId task) {
        return task.value().split("/")[1].startsWith(REPLICA_PREFIX);
    }

    /** Returns the group of a service's replicas, and creates it if it is absent. */
    Job replicaJob(long nowMillis, String key, Optional<Resources> size) {
        Job existing = jobs.get(key);
        if (existing != null) {
            return existing;
        }
        String name = key.substring(key.indexOf('/') + 1);
        String workload =
                name.substring(
                        REPLICA_PREFIX.length(), name.length() - dataCentre().value().length() - 1);
        CustomerId customer = customerOf(key);
        WorkloadId id = WorkloadId.of(customer.value() + "/" + workload);
        JobRow row =
                JobRow.submitted(
                        new JobRow.Spec(
                                JobId.of(key), id, 0, size.orElse(Resources.ZERO), true, ""));
        Job job = new Job(key, customer(customer), true, row, nowMillis);
        jobs.put(key, job);
        return job;
    }

    /**
     * Discards all tasks and the state of workers under the earlier epoch, before all rows are read
     * again. Job rows and the workers on which each job failed stay.
     */
    void reset(long leaseBoundMillis) {
        loaded = false;
        earlierLeaseBoundMillis = Math.max(earlierLeaseBoundMillis, leaseBoundMillis);
        jobs.values().removeIf(job -> job.replicaGroup);
        for (Job job : jobs.values()) {
            job.tasks.clear();
            job.queued.clear();
            job.rowWriteInFlight = false;
            job.rowChangeCollected = false;
        }
        customers.clear();
        Map<String, Job> previous = new HashMap<>(jobs);
        jobs.clear();
        for (Job job : previous.values()) {
            Job copy =
                    new Job(
                            job.key,
                            customer(customerOf(job.key)),
                            false,
                            job.row,
                            job.firstSeenMillis);
            copy.failedOn.addAll(job.failedOn);
            copy.sharedCrashes = job.sharedCrashes;
            jobs.put(job.key, copy);
        }
        orphanedTaskRows.clear();
        removalCommits.clear();
        placedTasks = 0;
        queuedTasks = 0;
        for (Worker worker : workers.values()) {
            for (Task task : worker.tasks) {
                worker.allocation.release(task.job.size(), task.estimate);
            }
            worker.tasks.clear();
            worker.services.clear();
            worker.beginEpoch(leaseBoundMillis);
        }
    }

    void recordDecision(String subject, String decision, Worker worker, String reason) {
        actions.add(
                new PlacementAction.Decided(
                        subject,
                        decision,
                        Optional.ofNullable(worker).map(assigned -> assigned.id),
                        reason));
    }
}
