package org.peridotcourse.dispatch;

/**
 * Reconciles the runs of earlier owners after a takeover, so that no task runs twice at a time.
 *
 * <p>Until every worker has reported all of its runs and ends or its lease has expired, an
 * inherited task may be running on a worker that this owner does not reach, or be done. The
 * following tasks cannot, so they may be started:
 *
 * <ul>
 *   <li>A task with a run that this owner started or adopted. The earlier owner started an adopted
 *       run only after all runs before it had ended, and none after it, since it had not ended. A
 *       reported end is no such proof: the earlier owner may have processed it and restarted the
 *       task.
 *   <li>A task of a step that had not opened when this owner adopted a task of an earlier step.
 * </ul>
 *
 * <p>A speculative task may have a copy on another worker, and a gang is done as soon as one member
 * is, so adopted runs of either are no proof. A worker that has not reported may also hold ends of
 * failed runs that the earlier owner had counted but not stored. The earlier owner did not fail the
 * job for them, so at least one more failure is allowed. A task that then fails under this owner is
 * not started again until those workers have reported or their leases have expired. Confined to one
 * thread.
 */
final class TakeoverReconciliation {
    private final OwnerState state;
    private boolean complete;
    private boolean workersMissing;

    TakeoverReconciliation(OwnerState state) {
        this.state = state;
    }

    /** Returns whether every worker has reported or its lease has expired. */
    boolean isComplete() {
        return complete;
    }

    /** Completes the reconciliation once every worker has reported or its lease has expired. */
    void update(long now) {
        if (complete) {
            return;
        }
        for (Worker worker : state.workers.values()) {
            if (!worker.hasReportedAll() && !state.isLeaseOver(worker, now)) {
                return;
            }
        }
        if (state.workers.isEmpty()
                && !state.hasPassed(state.term.earlierRunsMayLastUntil(), now)) {
            return;
        }
        complete = true;
        workersMissing |= state.workers.values().stream().anyMatch(worker -> !worker.hasReported);
        state.planDue = true;
        state.log(
                Decision.Kind.CENSUS_COMPLETE,
                "epoch-" + state.term.epoch(),
                null,
                "workers="
                        + state.workers.size()
                        + " jobs="
                        + state.jobs.size()
                        + " after="
                        + (now - state.term.takenOverAt()));
    }

    /** Records that a worker of an earlier owner has ended or is not found. */
    void onWorkerMissing() {
        workersMissing = true;
    }

    /**
     * Returns whether a task may have crashed a worker under an earlier owner that was lost before
     * it could record this.
     */
    boolean mayHaveCrashedWorker(Task task) {
        return workersMissing
                && task.job().inherited
                && !task.startedOrAdopted
                && !task.step.opensUnderThisOwner;
    }

    /** Returns whether no run of another owner can be active for a task. */
    boolean isSafeToStart(Task task) {
        if (mayBelongToLaterOwner(task.job())) {
            return false;
        }
        return complete
                || !task.job().inherited
                || hasNoOtherRun(task)
                || task.step.opensUnderThisOwner;
    }

    /** Returns whether a step has a waiting task that is safe to start. */
    boolean hasTaskSafeToStart(Step step) {
        if (mayBelongToLaterOwner(step.job())) {
            return false;
        }
        if (complete || !step.job().inherited) {
            return true;
        }
        boolean opened = step.opensUnderThisOwner;
        for (Task task : step.tasks) {
            if (task.isWaiting() && (opened || hasNoOtherRun(task))) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a job may have been accepted under a later owner, to whom it is new as well.
     * It is not started until a renewal shows that there was no later owner when it was read.
     */
    private boolean mayBelongToLaterOwner(Job job) {
        return job.readAt > state.soleOwnerUntil;
    }

    private static boolean hasNoOtherRun(Task task) {
        return wasStartedOrAdopted(task)
                && (task.step.spec.isLasting() || !task.failedUnderThisOwner);
    }

    private static boolean wasStartedOrAdopted(Task task) {
        return task.startedOrAdopted && !task.step.spec.isSpeculative();
    }
}
