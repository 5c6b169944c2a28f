package org.peridotcourse.dispatch;

import java.util.HashMap;
import java.util.Map;

/** One step of an occurrence. Confined to one thread. */
final class Step {
    final Occurrence occurrence;
    final int number;
    final StepSpec spec;
    final Task[] tasks;

    /** Key of the load that the tasks share if they serve. */
    final String loadKey;

    /** Number of runs of this step by worker, so that choosing a worker need not scan all tasks. */
    private final Map<Worker, Integer> runCountByWorker = new HashMap<>();

    /** Number of tasks that are not done. */
    int remainingTasks;

    /** Time before which no worker is searched for, since the last search found none. */
    long nextSearchAt;

    /** Time before which no runs to preempt are searched for. */
    long nextPreemptionAt;

    /** Time before which its waiting tasks are not logged again. */
    long nextWaitLogAt;

    /**
     * True if this owner started or adopted a task, which shows that later steps had not opened.
     */
    boolean precedesUnopenedSteps;

    /** True if the step has certainly opened under this owner, or will. */
    boolean opensUnderThisOwner;

    /** When the step was first found to be open, 0 before. */
    long openedAt;

    /** Number of done runs that started from the beginning and ran at full speed throughout. */
    int completedRuns;

    /** Sum of the durations of these runs. */
    long completedRunMillis;

    Step(Occurrence occurrence, int number, StepSpec spec, int lastEarlierAttempt, long now) {
        this.occurrence = occurrence;
        this.number = number;
        this.spec = spec;
        this.tasks = new Task[spec.taskCount()];
        this.remainingTasks = tasks.length;
        String job = occurrence.job.id;
        this.loadKey = job + TailLatencyModel.STEP_SEPARATOR + number;
        for (int i = 0; i < tasks.length; i++) {
            TaskRef ref = new TaskRef(job, occurrence.number, number, i);
            tasks[i] = new Task(ref, this, lastEarlierAttempt, now);
        }
    }

    Job job() {
        return occurrence.job;
    }

    /** Returns whether all steps that this one depends on are done and some task of it is not. */
    boolean isOpen() {
        if (remainingTasks == 0) {
            return false;
        }
        for (int predecessor : spec.predecessors()) {
            if (occurrence.steps[predecessor].remainingTasks > 0) {
                return false;
            }
        }
        return true;
    }

    /** Returns the number of tasks that may be started now. */
    int startableTasks(long now) {
        int count = 0;
        for (Task task : tasks) {
            if (task.mayStart(now)) {
                count++;
            }
        }
        return count;
    }

    /** Returns the number of runs of this step on a worker. */
    int activeRunsOn(Worker worker) {
        return runCountByWorker.getOrDefault(worker, 0);
    }

    void onRunAdded(Worker worker) {
        runCountByWorker.merge(worker, 1, Integer::sum);
    }

    void onRunRemoved(Worker worker) {
        runCountByWorker.computeIfPresent(worker, (key, runs) -> runs > 1 ? runs - 1 : null);
    }

    /** Marks a task as done; a gang is done with its first member. */
    void markDone(Task task) {
        if (spec.isGang()) {
            for (Task member : tasks) {
                markOne(member);
            }
        } else {
            markOne(task);
        }
    }

    private void markOne(Task task) {
        if (!task.done) {
            task.done = true;
            remainingTasks--;
        }
    }
}
