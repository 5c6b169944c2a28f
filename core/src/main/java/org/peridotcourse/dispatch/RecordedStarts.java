package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * Starts of tasks that may crash their worker. Such a start is stored before it is sent, so that a
 * successor knows of it if this owner is lost together with the worker. Confined to one thread.
 */
final class RecordedStarts {
    /**
     * Wait after which a start is sent although it is not stored, so that tasks are not held up for
     * as long as the store is unavailable.
     */
    static final long MAX_WAIT_MILLIS = 1_000;

    private final OwnerState state;
    private final WorkerSelector selector;
    private final RunLifecycle runs;
    private List<Pending> pending = new ArrayList<>();

    /** A start that waits until a record of its job is stored. */
    private record Pending(Run run, int recordNumber, String cause, long since) {}

    RecordedStarts(OwnerState state, WorkerSelector selector, RunLifecycle runs) {
        this.state = state;
        this.selector = selector;
        this.runs = runs;
    }

    /** Adds a run that has a worker and is to be started once this is recorded. */
    void add(Run run, String cause, long now) {
        run.sent = false;
        run.recordedAhead = true;
        int recordNumber = run.task.job().requestRecord();
        pending.add(new Pending(run, recordNumber, cause, now));
        state.log(
                Decision.Kind.START_RECORDED,
                run,
                "losses=" + state.crashes.lossCount(run.task) + " alone=" + run.alone);
    }

    /** Sends the starts that are recorded, and withdraws those that are not wanted any more. */
    void send(long now) {
        if (pending.isEmpty()) {
            return;
        }
        // Members of a gang follow each other, and a withdrawn one stops those before it too.
        pending.forEach(start -> withdrawIfUnwanted(start.run(), now));
        List<Pending> waiting = new ArrayList<>();
        for (Pending start : pending) {
            Run run = start.run();
            if (run.isStopping() || !isTracked(run)) {
                withdrawIfUnwanted(run, now);
            } else if (mayBeSent(start, now)) {
                run.sent = true;
                runs.sendStart(run, now, start.cause());
            } else {
                waiting.add(start);
            }
        }
        pending = waiting;
    }

    private boolean mayBeSent(Pending start, long now) {
        boolean recorded = start.run().task.job().recordsStored >= start.recordNumber();
        return (recorded || now - start.since() >= MAX_WAIT_MILLIS) && state.availableStarts() > 0;
    }

    private void withdrawIfUnwanted(Run run, long now) {
        boolean wanted = !run.isStopping() && !run.task.done && run.task.job().isActive();
        if (isTracked(run) && !(wanted && workerIsStillSuitable(run, now))) {
            runs.withdraw(run, now);
        }
    }

    /** The worker was suitable when the run was assigned to it, but may have changed meanwhile. */
    private boolean workerIsStillSuitable(Run run, long now) {
        Worker worker = run.worker;
        return selector.acceptsStarts(worker, now)
                && worker.reserved().isWithin(worker.info.capacity())
                && worker.info.service().equals(state.queueRules(run.task.job()).service());
    }

    private static boolean isTracked(Run run) {
        return run.worker.runs.get(run.key()) == run;
    }
}
