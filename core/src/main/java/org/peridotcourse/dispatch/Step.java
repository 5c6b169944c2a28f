package org.peridotcourse.dispatch;

import java.util.HashMap;
import java.util.Map;

/** One step of an occurrence. Confined to one thread. */
final class Step {
    final Occurrence occurrence;
    final int number;
    final StepSpec spec;
    final Task[] tasks;

    /** Names the load that the tasks share if they serve. */
    final String load;

    /** Runs of this step on each worker, so that a choice of workers needs no look at all tasks. */
    private final Map<Worker, Integer> activeByWorker = new HashMap<>();

    /** Tasks that are not done. */
    int remaining;

    /** No search for a worker before this time, since the last one found none. */
    long searchAt;

    /** No search for runs to preempt before this time. */
    long preemptAt;

    /** No report on its waiting tasks before this time. */
    long waitLogAt;

    /** When it was first seen open, 0 before. */
    long openedAt;

    /** Whole runs that are done, and their durations together. */
    int doneRuns;

    long doneMillis;

    Step(Occurrence occurrence, int number, StepSpec spec, int attemptFloor, long now) {
        this.occurrence = occurrence;
        this.number = number;
        this.spec = spec;
        this.tasks = new Task[spec.count()];
        this.remaining = tasks.length;
        String job = occurrence.job.id;
        this.load = job + TailModel.STEP_MARK + number;
        for (int i = 0; i < tasks.length; i++) {
            TaskRef ref = new TaskRef(job, occurrence.number, number, i);
            tasks[i] = new Task(ref, this, attemptFloor, now);
        }
    }

    Job job() {
        return occurrence.job;
    }

    /** Tells whether all earlier steps are done and some task is not. */
    boolean isOpen() {
        if (remaining == 0) {
            return false;
        }
        for (int before : spec.after()) {
            if (occurrence.steps[before].remaining > 0) {
                return false;
            }
        }
        return true;
    }

    int waiting(long now) {
        int count = 0;
        for (Task task : tasks) {
            if (task.mayStart(now)) {
                count++;
            }
        }
        return count;
    }

    int activeOn(Worker worker) {
        return activeByWorker.getOrDefault(worker, 0);
    }

    void onRunAdded(Worker worker) {
        activeByWorker.merge(worker, 1, Integer::sum);
    }

    void onRunRemoved(Worker worker) {
        activeByWorker.computeIfPresent(worker, (key, runs) -> runs > 1 ? runs - 1 : null);
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
            remaining--;
        }
    }
}
