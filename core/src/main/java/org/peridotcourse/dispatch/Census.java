package org.peridotcourse.dispatch;

/**
 * Tells which tasks an earlier owner's runs may still hold, so that a start could be a second run.
 *
 * <p>Until every worker has reported or has outlived its lease, an inherited task may be running
 * where this owner does not see it. Two kinds of tasks cannot:
 *
 * <ul>
 *   <li>A task with a run that this owner started or found alive. The earlier owner started that
 *       run only after all runs before it were over, and none after it, since it had not ended. A
 *       listed end proves less: the earlier owner may have seen it, and started the task again.
 *   <li>A task of a step that had not opened when this owner found a task of an earlier step alive.
 * </ul>
 *
 * <p>A speculative task may have a copy elsewhere, and a gang is done with any of its members, so
 * that neither tells anything. A silent worker may also list failures that the earlier owner knew:
 * they leave room for one more failure, so that a task which fails under this owner waits for them.
 * Confined to one thread.
 */
final class Census {
    private final OwnerState state;
    private boolean complete;

    Census(OwnerState state) {
        this.state = state;
    }

    /** Tells whether every worker that may run tasks of an earlier owner is accounted for. */
    boolean isComplete() {
        return complete;
    }

    /** Looks whether a worker is still waited for. */
    void update(long now) {
        if (complete) {
            return;
        }
        for (Worker worker : state.workers.values()) {
            if (!worker.counted && now < worker.leaseOverAt) {
                return;
            }
        }
        if (state.workers.isEmpty() && now < state.term.earlierRunsUntil()) {
            return;
        }
        complete = true;
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
                        + (now - state.term.beganAt()));
    }

    /** Tells whether no run of an earlier owner can hold a task. */
    boolean isFree(Task task) {
        return complete || !task.job().inherited || hasNoOtherRun(task) || hasOpenedHere(task.step);
    }

    /** Tells whether some waiting task of a step is free. */
    boolean hasFree(Step step) {
        if (complete || !step.job().inherited) {
            return true;
        }
        boolean opened = hasOpenedHere(step);
        for (Task task : step.tasks) {
            if (task.isWaiting() && (opened || hasNoOtherRun(task))) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasNoOtherRun(Task task) {
        return wasFoundAlive(task) && (task.step.spec.isLasting() || !task.failedHere);
    }

    private static boolean wasFoundAlive(Task task) {
        return task.seenAlive && !task.step.spec.isSpeculative();
    }

    /** Tells whether a step can only have opened under this owner. */
    private static boolean hasOpenedHere(Step step) {
        for (int before : step.spec.after()) {
            Step earlier = step.occurrence.steps[before];
            if (hasAliveTask(earlier) || hasOpenedHere(earlier)) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasAliveTask(Step step) {
        if (step.spec.isGang()) {
            return false;
        }
        for (Task task : step.tasks) {
            if (wasFoundAlive(task)) {
                return true;
            }
        }
        return false;
    }
}
