package org.peridotcourse.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.DataCentreId;

/**
 * Accepts jobs, creates their task rows, refuses what can never run, and carries out cancellations.
 *
 * <p>Confined to one thread.
 */
final class JobAdmission {
    /** Most task rows created by one change, so that a change fits into one transaction. */
    private static final int MAX_ROWS_PER_CREATION = 150;

    /** Time that the data centre of the next lower rank waits before it takes a job. */
    private static final long RANK_DELAY_MILLIS = 2_000;

    /** Age at which a job with an unknown workload is refused; until then the row may come. */
    private static final long UNKNOWN_WORKLOAD_MILLIS = 10_000;

    private final OwnerState state;
    private final WriteBuffer writes;
    private final Set<Job> jobsToReview = new LinkedHashSet<>();

    JobAdmission(OwnerState book, WriteBuffer writes) {
        this.state = book;
        this.writes = writes;
    }

    /** Notes a job whose row has changed or is new. */
    void requestReview(Job job) {
        if (!job.replicaGroup) {
            jobsToReview.add(job);
        }
    }

    /** Notes all jobs, after the rows were read anew. */
    void requestReviewOfAll() {
        jobsToReview.clear();
        state.jobs.values().forEach(this::requestReview);
    }

    /** Looks at all noted jobs. */
    void reviewJobs(long nowMillis) {
        if (!state.isReady(nowMillis) || state.config.version() == 0 || state.hosts.isEmpty()) {
            return;
        }
        jobsToReview.removeIf(job -> !review(nowMillis, job));
    }

    /** Returns true if the job needs attention again. */
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
        boolean mine = claim.isPresent() && claim.get().equals(state.dataCentre());
        boolean fresh =
                nowMillis - state.configConfirmedMillis <= OwnerSettings.MAX_CONFIG_AGE_MILLIS;
        if (!fresh) {
            return;
        }
        if (!state.config.isIn(state.dataCentre())) {
            if (mine && hasOtherDataCentre(job)) {
                RowChange change = RowChange.of(job);
                change.creationClaim = Optional.empty();
                writes.add(change);
            }
            return;
        }
        if (!mine && !mayClaim(nowMillis, job, claim)) {
            return;
        }
        int from = job.row.progress().created();
        RowChange change =
                RowChange.creation(
                        job, from, from + Math.min(remaining(job), MAX_ROWS_PER_CREATION));
        change.creationClaim = Optional.of(state.dataCentre());
        change.jobState = JobState.ACCEPTED;
        if (claim.isPresent() && !mine) {
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
                    && peer.challenger.isHoldOver(nowMillis);
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

    /** Returns the data centres that are in, allowed, and have a worker large enough. */
    private List<DataCentreId> eligibleDataCentres(Job job) {
        List<DataCentreId> found = new ArrayList<>();
        state.config
                .dataCentres()
                .forEach(
                        (dataCentre, in) -> {
                            if (in && isAllowed(job, dataCentre) && fits(job, dataCentre)) {
                                found.add(dataCentre);
                            }
                        });
        return found;
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

    /** Returns the place of this data centre in an order that differs from job to job. */
    private int rank(Job job, Collection<DataCentreId> dataCentres) {
        if (!dataCentres.contains(state.dataCentre())) {
            return -1;
        }
        int own = hash(job, state.dataCentre());
        int rank = 0;
        for (DataCentreId other : dataCentres) {
            int theirs = hash(job, other);
            boolean before =
                    theirs < own
                            || (theirs == own
                                    && other.value().compareTo(state.dataCentre().value()) < 0);
            rank += before ? 1 : 0;
        }
        return rank;
    }

    private static int hash(Job job, DataCentreId dataCentre) {
        int mixed = (job.key + "@" + dataCentre.value()).hashCode() * 0x9E3779B9;
        return mixed ^ (mixed >>> 15);
    }

    /** Removes waiting tasks of a cancelled job; the worker reports lead to the stop of others. */
    private void removeCancelledTasks(Job job) {
        Optional<DataCentreId> claim = job.row.progress().dataCentre();
        boolean mine = claim.isEmpty() || claim.get().equals(state.dataCentre());
        if (remaining(job) > 0 && mine) {
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

    /** Queues the held task of a job that an operator has released. */
    private void requeueHeldTasks(Job job) {
        for (Task task : job.tasks.values()) {
            if (task.state == TaskState.HELD && !task.rowChangePending) {
                job.failedOn.clear();
                writes.add(RowChange.of(task, TaskChart.next(task.state, TaskEvent.RELEASED)));
            }
        }
    }
}
