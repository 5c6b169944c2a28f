package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.DataCentreId;

/**
 * Accepts jobs, creates their task rows, refuses jobs that can never run, and processes
 * cancellations.
 *
 * <p>Confined to one thread.
 */
final class JobAdmission {
    /** Maximum number of task rows created by one change, so that it fits into one transaction. */
    private static final int MAX_ROWS_PER_CREATION = 150;

    /**
     * Delay per rank before a data centre claims a job, so that usually only the first one does.
     */
    private static final long RANK_DELAY_MILLIS = 2_000;

    /**
     * Age at which a job with an unknown workload is refused; the workload's row may arrive until
     * then.
     */
    private static final long UNKNOWN_WORKLOAD_MILLIS = 10_000;

    private final OwnerState state;
    private final WriteBuffer writes;
    private final Set<Job> jobsToReview = new LinkedHashSet<>();

    JobAdmission(OwnerState state, WriteBuffer writes) {
        this.state = state;
        this.writes = writes;
    }

    /** Schedules a review of a job whose row is new or has changed. */
    void requestReview(Job job) {
        if (!job.replicaGroup) {
            jobsToReview.add(job);
        }
    }

    /** Schedules a review of all jobs, after all rows were read again. */
    void requestReviewOfAll() {
        jobsToReview.clear();
        state.jobs.values().forEach(this::requestReview);
    }

    /** Reviews all scheduled jobs. */
    void reviewJobs(long nowMillis) {
        if (!state.isReady(nowMillis) || state.config.version() == 0 || state.hosts.isEmpty()) {
            return;
        }
        jobsToReview.removeIf(job -> !review(nowMillis, job));
    }

    /** Returns true if the job must be reviewed again. */
    private boolean review(long nowMillis, Job job) {
        if (job.rowWriteInFlight || job.rowChangeCollected) {
            return true;
        }
        if (job.state().isFinal()) {
            if (job.tasks.isEmpty()) {
                state.jobs.remove(job.key, job);
            }
            return false;
        }
        if (job.row.cancel()) {
            removeCancelledTasks(job);
            return remaining(job) > 0 || !job.tasks.isEmpty();
        }
        if (job.state() == JobState.HELD) {
            return false;
        }
        requeueHeldTasks(job);
        if (remaining(job) > 0) {
            createTasks(nowMillis, job);
            return true;
        }
        return false;
    }

    private static int remaining(Job job) {
        return job.row.spec().tasks() - job.row.progress().created();
    }

    private void createTasks(long nowMillis, Job job) {
        Optional<DataCentreId> claim = job.row.progress().dataCentre();
        boolean isClaimedHere = claim.isPresent() && claim.get().equals(state.dataCentre());
        boolean configIsFresh =
                nowMillis - state.configConfirmedMillis <= OwnerSettings.MAX_CONFIG_AGE_MILLIS;
        if (!configIsFresh) {
            return;
        }
        if (!state.config.isIn(state.dataCentre())) {
            if (isClaimedHere && hasOtherDataCentre(job)) {
                RowChange change = RowChange.of(job);
                change.creationClaim = Optional.empty();
                writes.add(change);
            }
            return;
        }
        if (!isClaimedHere && !mayClaim(nowMillis, job, claim)) {
            return;
        }
        int from = job.row.progress().created();
        RowChange change =
                RowChange.creation(
                        job, from, from + Math.min(remaining(job), MAX_ROWS_PER_CREATION));
        change.creationClaim = Optional.of(state.dataCentre());
        change.jobState = JobState.ACCEPTED;
        if (claim.isPresent() && !isClaimedHere) {
            change.peer = claim.get();
            change.peerLeaseCommit = state.peers.get(claim.get()).challenger.commit();
        }
        writes.add(change);
    }

    private boolean hasOtherDataCentre(Job job) {
        for (DataCentreId other : eligibleDataCentres(job)) {
            if (!other.equals(state.dataCentre())) {
                return true;
            }
        }
        return false;
    }

    private boolean mayClaim(long nowMillis, Job job, Optional<DataCentreId> claim) {
        if (claim.isPresent()) {
            PeerOwner peer = state.peers.get(claim.get());
            return eligibleDataCentres(job).contains(state.dataCentre())
                    && peer != null
                    && peer.challenger.isHoldExpired(nowMillis);
        }
        if (state.rule(job.workload()).isEmpty()) {
            if (nowMillis - job.firstSeenMillis >= UNKNOWN_WORKLOAD_MILLIS) {
                refuse(job, "its workload is unknown");
            }
            return false;
        }
        if (job.state() == JobState.SUBMITTED && !fitsSomewhere(job)) {
            refuse(job, "a task fits no worker that it may use");
            return false;
        }
        int rank = rank(job, eligibleDataCentres(job));
        return rank >= 0 && nowMillis - job.firstSeenMillis >= rank * RANK_DELAY_MILLIS;
    }

    private void refuse(Job job, String reason) {
        if (job.state() != JobState.SUBMITTED) {
            return;
        }
        RowChange change = RowChange.of(job);
        change.jobState = JobState.REFUSED;
        change.reason = reason;
        writes.add(change);
        state.recordDecision(job.key, "job-refused", null, reason);
    }

    /** Returns the data centres that are {@code in}, allowed, and have a worker large enough. */
    private List<DataCentreId> eligibleDataCentres(Job job) {
        List<DataCentreId> result = new ArrayList<>();
        state.config
                .dataCentres()
                .forEach(
                        (dataCentre, in) -> {
                            if (in && isAllowed(job, dataCentre) && fits(job, dataCentre)) {
                                result.add(dataCentre);
                            }
                        });
        return result;
    }

    private boolean isAllowed(Job job, DataCentreId dataCentre) {
        return state.rule(job.workload()).map(rule -> rule.allows(dataCentre)).orElse(false);
    }

    private boolean fitsSomewhere(Job job) {
        for (DataCentreId dataCentre : state.config.dataCentres().keySet()) {
            if (isAllowed(job, dataCentre) && fits(job, dataCentre)) {
                return true;
            }
        }
        return false;
    }

    private boolean fits(Job job, DataCentreId dataCentre) {
        for (WorkerHost host : state.hosts) {
            if (host.dataCentre().equals(dataCentre) && job.size().isWithin(host.capacity())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the rank of this data centre in an order that differs from job to job, -1 if it is
     * not in the list.
     */
    private int rank(Job job, Collection<DataCentreId> dataCentres) {
        if (!dataCentres.contains(state.dataCentre())) {
            return -1;
        }
        int ownHash = hash(job, state.dataCentre());
        int rank = 0;
        for (DataCentreId other : dataCentres) {
            int otherHash = hash(job, other);
            boolean isBefore =
                    otherHash < ownHash
                            || (otherHash == ownHash
                                    && other.value().compareTo(state.dataCentre().value()) < 0);
            rank += isBefore ? 1 : 0;
        }
        return rank;
    }

    private static int hash(Job job, DataCentreId dataCentre) {
        int mixed = (job.key + "@" + dataCentre.value()).hashCode() * 0x9E3779B9;
        return mixed ^ (mixed >>> 15);
    }

    /**
     * Removes queued and held tasks of a cancelled job. Running ones are stopped when a report
     * lists them. Unless another data centre has claimed the job, the tasks without a row are
     * counted as cancelled.
     */
    private void removeCancelledTasks(Job job) {
        Optional<DataCentreId> claim = job.row.progress().dataCentre();
        boolean isNotClaimedElsewhere = claim.isEmpty() || claim.get().equals(state.dataCentre());
        if (remaining(job) > 0 && isNotClaimedElsewhere) {
            RowChange change = RowChange.of(job);
            change.cancelledTasks = remaining(job);
            change.createFrom = job.row.spec().tasks();
            change.createTo = job.row.spec().tasks();
            writes.add(change);
        }
        for (Task task : List.copyOf(job.tasks.values())) {
            boolean waiting = task.state == TaskState.QUEUED || task.state == TaskState.HELD;
            if (waiting && !task.rowChangePending) {
                writes.add(RowChange.removal(task, 0, 1));
            }
        }
    }

    /** Queues the held tasks of a job that an operator has released. */
    private void requeueHeldTasks(Job job) {
        for (Task task : job.tasks.values()) {
            if (task.state == TaskState.HELD && !task.rowChangePending) {
                job.failedOn.clear();
                job.sharedCrashes = 0;
                writes.add(RowChange.of(task, TaskChart.next(task.state, TaskEvent.RELEASED)));
            }
        }
    }
}
