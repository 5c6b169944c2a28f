package org.peridotcourse.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Manages the lifecycle of runs: starts, stops and ends. Confined to one thread. */
final class RunLifecycle {
    /** Time after which a stop that has not been confirmed is sent again. */
    static final long STOP_RETRY_MILLIS = 300;

    /**
     * The same for a worker that does not answer lease calls; it exceeds the time-out of orders.
     */
    static final long UNREACHABLE_STOP_RETRY_MILLIS = 700;

    /** Time for which nothing is started on a worker that rejected a start for lack of capacity. */
    static final long NO_ROOM_PAUSE_MILLIS = 300;

    /** Time for which nothing is started on a worker that reported that it is unhealthy. */
    static final long UNHEALTHY_PAUSE_MILLIS = 1_000;

    /** Time for which nothing is started on a worker to which a start was not sent in time. */
    static final long EXPIRED_PAUSE_MILLIS = 300;

    /** Delay before a start is repeated that was rejected as malformed or because of its ticket. */
    static final long MALFORMED_PAUSE_MILLIS = 1_000;

    private final OwnerState state;
    private final JobRegistry jobs;

    RunLifecycle(OwnerState state, JobRegistry jobs) {
        this.state = state;
        this.jobs = jobs;
    }

    /** Assigns a task to a worker as a run that is then started with {@link #sendStart}. */
    Run assign(Task task, Worker worker, int attempt, long now) {
        Run run = new Run(task, attempt, worker, now);
        task.lastAttempt = Math.max(task.lastAttempt, attempt);
        task.markStartedOrAdopted();
        task.runs.add(run);
        worker.add(run);
        return run;
    }

    /** Orders the start of a run. */
    void sendStart(Run run, long now, String cause) {
        Task task = run.task;
        Worker worker = run.worker;
        StepSpec spec = run.spec();
        if (spec.isFilling()) {
            for (Run serving : worker.servingRunPerLoad()) {
                state.tailModel.onFillingStart(serving.image(), run.image(), now);
            }
        }
        String checkpoint = spec.isCheckpointing() ? task.checkpoint : "";
        state.addOrder(
                new Order.Start(
                        worker.info,
                        task.ref,
                        run.attempt,
                        state.term.epoch(),
                        task.job().spec.payload(),
                        worker.grantLease(now, state.term.leaseTimes(), state.mayOrderUntil),
                        checkpoint,
                        Optional.empty()));
        state.log(
                Decision.Kind.RUN_ORDERED,
                run,
                cause + " waited=" + task.waitedMillis(now) + " resumed=" + !checkpoint.isEmpty());
    }

    /** Withdraws a run whose start was not sent. */
    void withdraw(Run run, long now) {
        stopOtherMembers(run, now);
        release(run, now);
    }

    /** Requests the stop of a run, unless that was done before. */
    void stop(Run run, StopReason reason, long now) {
        if (!run.isStopping()) {
            run.requestStop(reason, now);
            state.log(
                    Decision.Kind.RUN_STOPPED,
                    run,
                    "reason=" + reason.code() + " percent=" + run.percent);
        }
    }

    /** A stop that is to be sent, and what to do once it has been. */
    private record DueStop(
            Worker worker, Run.Key key, StopReason reason, long dueAt, Runnable onSent) {}

    /**
     * Adds the stop orders that are due. Those that have been due for longest come first, so that
     * repeated stops do not delay others that were never sent. Stops on workers that do not answer
     * lease calls come last and leave a part of the reserve to the others: such a worker may be
     * alive, and only this owner too slow for the calls.
     */
    void sendStops(long now) {
        List<DueStop> due = new ArrayList<>();
        for (Worker worker : state.workers.values()) {
            if (worker.hasPendingStops) {
                addDueStops(worker, now, due);
            }
            if (!worker.reachable && !worker.runs.isEmpty()) {
                continue;
            }
            worker.unknownRuns.forEach(
                    (key, dueAt) -> {
                        if (dueAt <= now) {
                            due.add(
                                    new DueStop(
                                            worker,
                                            key,
                                            StopReason.NOT_WANTED,
                                            dueAt,
                                            () ->
                                                    worker.unknownRuns.put(
                                                            key, now + STOP_RETRY_MILLIS)));
                        }
                    });
        }
        due.sort(
                Comparator.comparing((DueStop stop) -> !stop.worker().reachable)
                        .thenComparingLong(DueStop::dueAt));
        for (DueStop stop : due) {
            int kept = stop.worker().reachable ? 0 : OrderWindow.RESERVE / 2;
            if (state.availableStops() <= kept) {
                return;
            }
            stop.onSent().run();
            sendStop(stop.worker(), stop.key(), stop.reason());
        }
    }

    private static void addDueStops(Worker worker, long now, List<DueStop> due) {
        worker.hasPendingStops = false;
        long retryMillis = worker.reachable ? STOP_RETRY_MILLIS : UNREACHABLE_STOP_RETRY_MILLIS;
        for (Run run : worker.runs.values()) {
            worker.hasPendingStops |= run.isStopping();
            if (run.isStopping() && run.stopConfirmedAt == 0 && run.nextStopAt <= now) {
                due.add(
                        new DueStop(
                                worker,
                                run.key(),
                                run.stopReason,
                                run.nextStopAt,
                                () -> run.nextStopAt = now + retryMillis));
            }
        }
    }

    private void sendStop(Worker worker, Run.Key key, StopReason reason) {
        state.addOrder(
                new Order.Stop(worker.info, key.task(), key.attempt(), state.term.epoch(), reason));
    }

    /** Handles the reply to an order. */
    void onReply(Order order, OrderReply reply, long now) {
        Worker worker = state.workers.get(order.worker().id());
        if (reply == OrderReply.STALE_EPOCH) {
            depose(worker);
            return;
        }
        if (worker == null) {
            return;
        }
        if (reply != OrderReply.ACCEPTED) {
            state.log(
                    Decision.Kind.ORDER_FAILED,
                    order.task() + "#" + order.attempt(),
                    worker,
                    "order=" + kindOf(order) + " reply=" + reply);
        }
        Run run = worker.runs.get(new Run.Key(order.task(), order.attempt()));
        if (run != null) {
            onRunReply(run, order, reply, now);
        }
        if (reply == OrderReply.OTHER_LIFE) {
            onAddressTaken(worker, order.worker().address(), now);
        }
    }

    private void onRunReply(Run run, Order order, OrderReply reply, long now) {
        if (order instanceof Order.Start) {
            onStartReply(run, reply, now);
        } else if (order instanceof Order.Stop) {
            onStopReply(run, reply, now);
        }
    }

    private static String kindOf(Order order) {
        return order.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT);
    }

    private void onStartReply(Run run, OrderReply reply, long now) {
        Worker worker = run.worker;
        Task task = run.task;
        switch (reply) {
            case ACCEPTED:
                run.confirm(now);
                worker.wasAliveAt(run.orderedAt);
                markStarted(task.job());
                return;
            case UNANSWERED:
                // The next report shows whether the worker carried out the start.
                run.startUnanswered = !run.confirmed;
                run.startUnansweredAt = now;
                return;
            case NO_ROOM:
                worker.noStartBefore = now + NO_ROOM_PAUSE_MILLIS;
                break;
            case UNHEALTHY:
                worker.noStartBefore = now + UNHEALTHY_PAUSE_MILLIS;
                break;
            case EXPIRED:
                worker.noStartBefore = now + EXPIRED_PAUSE_MILLIS;
                break;
            case MALFORMED:
            case NO_TICKET:
                task.noStartBefore = now + MALFORMED_PAUSE_MILLIS;
                break;
            case OTHER_LIFE:
                worker.discardClockReading();
                break;
            case NOT_SENT:
                worker.reachable = false;
                break;
            default:
                break;
        }
        stopOtherMembers(run, now);
        release(run, now);
    }

    /** Stops the other members of a gang, which would wait in vain for one that did not start. */
    private void stopOtherMembers(Run failed, long now) {
        if (!failed.spec().isGang()) {
            return;
        }
        for (Task member : failed.task.step.tasks) {
            for (Run run : new ArrayList<>(member.runs)) {
                if (run != failed && run.attempt == failed.attempt) {
                    stop(run, StopReason.NOT_WANTED, now);
                }
            }
        }
    }

    private void onStopReply(Run run, OrderReply reply, long now) {
        switch (reply) {
            case ACCEPTED:
            case OLD_ATTEMPT:
            case MALFORMED:
                run.stopConfirmedAt = now;
                break;
            case NOT_SENT:
                run.worker.reachable = false;
                break;
            default:
                break;
        }
    }

    /** Marks this owner as deposed, since a worker has received a later epoch. */
    void depose(Worker worker) {
        if (!state.deposed) {
            state.deposed = true;
            state.log(
                    Decision.Kind.DEPOSED,
                    "epoch-" + state.term.epoch(),
                    worker,
                    "epoch=" + state.term.epoch());
        }
    }

    /** Marks a job as started, if it was not. */
    void markStarted(Job job) {
        if (!job.started) {
            job.started = true;
            if (job.state == JobState.QUEUED) {
                job.state = JobState.RUNNING;
                job.hasUnstoredChanges = true;
            }
        }
    }

    /** Ends a run that this owner tracks. */
    void end(Run run, RunOutcome outcome, EndSource source, String checkpoint, long now) {
        state.log(
                Decision.Kind.RUN_ENDED,
                run,
                "kind="
                        + outcome
                        + " ran="
                        + (now - run.orderedAt)
                        + " percent="
                        + run.percent
                        + " by="
                        + source.code());
        release(run, now);
        if (outcome == RunOutcome.DONE) {
            run.worker.health.onSuccess();
            state.durationPredictor.onRunDone(run, now);
        } else if (outcome == RunOutcome.FAILED) {
            onFailed(run, now);
        }
        applyEnd(run.task, run.attempt, run.worker, outcome, checkpoint, now);
    }

    private void onFailed(Run run, long now) {
        Task task = run.task;
        boolean failedElsewhere = hasFailedElsewhere(task, run.worker.id);
        task.failedOnWorkers.add(run.worker.id);
        if (failedElsewhere || task.step.spec.isLasting()) {
            return;
        }
        if (run.worker.health.onFailure(task.ref.job(), now)) {
            logQuarantine(run.worker, "failures");
        }
    }

    void logQuarantine(Worker worker, String cause) {
        state.log(Decision.Kind.WORKER_QUARANTINED, worker.id, worker, "cause=" + cause);
    }

    /** Returns whether a task of the same occurrence has failed on another worker too. */
    private static boolean hasFailedElsewhere(Task task, String worker) {
        for (Step step : task.step.occurrence.steps) {
            for (Task other : step.tasks) {
                for (String failedOn : other.failedOnWorkers) {
                    if (!failedOn.equals(worker)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** Applies the end of a run to its task; applying it again has no further effect. */
    void applyEnd(
            Task task,
            int attempt,
            Worker worker,
            RunOutcome outcome,
            String checkpoint,
            long now) {
        Job job = task.job();
        job.workersOfUnstoredEnds.add(worker.id);
        task.lastAttempt = Math.max(task.lastAttempt, attempt);
        markStarted(job);
        if (task.done) {
            return;
        }
        state.planDue = true;
        if (!checkpoint.isEmpty() && task.step.spec.isCheckpointing()) {
            task.checkpoint = checkpoint;
            job.hasUnstoredChanges |= outcome == RunOutcome.STOPPED || outcome == RunOutcome.LAPSED;
        }
        if (outcome == RunOutcome.DONE && !task.step.spec.isLasting()) {
            task.step.markDone(task);
            job.hasUnstoredChanges = true;
            stopOthers(task, now);
            jobs.completeIfDone(job, now);
        } else if (outcome.isFailure()) {
            jobs.onRunFailed(task, attempt, now);
        }
    }

    private void stopOthers(Task task, long now) {
        if (task.step.spec.isGang()) {
            // The workers end the other members once one has ended.
            return;
        }
        new ArrayList<>(task.runs).forEach(run -> stop(run, StopReason.NOT_WANTED, now));
    }

    /** Removes a run that has definitely ended or was never started. */
    private void release(Run run, long now) {
        run.worker.remove(run);
        run.task.runs.remove(run);
        run.task.waitingSince = now;
        state.planDue = true;
    }

    /** Ends all runs of unreachable workers whose leases have expired. */
    void endRunsOfExpiredLeases(long now) {
        for (Worker worker : state.workers.values()) {
            if (worker.reachable || worker.runs.isEmpty() || !state.isLeaseOver(worker, now)) {
                continue;
            }
            state.log(
                    Decision.Kind.WORKER_LEASES_OVER,
                    worker.id,
                    worker,
                    "runs=" + worker.runs.size() + " silent=" + (now - worker.lastReportAt));
            endAllRuns(worker, EndSource.LEASE, now);
        }
    }

    /**
     * Handles the proof that another worker, or another incarnation that does not know the id, has
     * an address. If the worker has reported from there, it has ended with all its runs. Otherwise
     * the address may be that of a faulty list entry, and its leases have to run out.
     */
    void onAddressTaken(Worker worker, String address, long now) {
        if (worker.hasReported && !address.equals(worker.reportedAddress)) {
            return;
        }
        state.crashes.onCrashed(worker, now);
        if (worker.hasReported) {
            worker.reachable = false;
            worker.discardClockReading();
            worker.leaseExpiresAt = Math.min(worker.leaseExpiresAt, now);
            endAllRuns(worker, EndSource.ADDRESS, now);
        }
    }

    /** Ends all runs of a worker as lapsed. */
    private void endAllRuns(Worker worker, EndSource source, long now) {
        List<Run> runs = new ArrayList<>(worker.runs.values());
        runs.forEach(run -> end(run, RunOutcome.LAPSED, source, "", now));
        worker.unknownRuns.clear();
    }
}
